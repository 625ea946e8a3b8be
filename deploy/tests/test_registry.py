import io
import tarfile

from deploy.tests.test_build import (
    LIBRARIES,
    METADATA,
    checkout,
    missing_libraries,
    start_build,
    wait_for_build,
    write_wheel,
)

SOURCE_PROJECT = """
[build-system]
requires = ["a-compiler-that-is-not-there"]
build-backend = "setuptools.build_meta"
"""


def serve_instead(registry, name, version):
    """Serve another release of a library instead of the pinned one."""
    for wheel in registry.glob(f"{name}-*"):
        wheel.unlink()
    write_wheel(registry, name, version)


def write_source(registry, name):
    """Serve the pinned release of a library as source only."""
    top = f"{name}-{LIBRARIES[name]}"
    files = {
        "pyproject.toml": SOURCE_PROJECT,
        "PKG-INFO": METADATA.format(name, LIBRARIES[name]),
    }
    with tarfile.open(registry / f"{top}.tar.gz", "w:gz") as archive:
        for file, text in files.items():
            member = tarfile.TarInfo(f"{top}/{file}")
            member.size = len(text)
            archive.addfile(member, io.BytesIO(text.encode()))


def build_without_pauses(root, registry):
    program = root / "deploy/build.py"
    program.write_text(
        program.read_text().replace("RETRY_PAUSE_S = 5.0", "RETRY_PAUSE_S = 0")
    )
    return wait_for_build(start_build(root, registry))


# The build failed for one pinned release that the registry lacked, or had no wheel of,
# although it served another release in the declared range.
def test_pinned_release_that_is_not_served_is_replaced_by_one_in_range():
    for as_source in (False, True):
        with checkout() as (root, registry):
            serve_instead(registry, "xxhash", "4.1.7")
            if as_source:
                write_source(registry, "xxhash")
            status, err = build_without_pauses(root, registry)
            assert status == 0, (as_source, err)
            assert not missing_libraries(root)
            installed = [path.name for path in (root / "target").rglob("*.dist-info")]
            assert "xxhash-4.1.7.dist-info" in installed
            assert "gevent-26.9.0.dist-info" in installed  # other pins are kept
            assert "xxhash" in err  # the build names it


def test_release_outside_the_declared_range_is_never_installed():
    with checkout() as (root, registry):
        serve_instead(registry, "xxhash", "5.0.0")
        status, err = build_without_pauses(root, registry)
        assert status == 1
        assert "xxhash" in err
