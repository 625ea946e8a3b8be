import shutil

from deploy.tests.test_build import (
    FOLDER,
    LIBRARIES,
    checkout,
    finish,
    missing,
    start_build,
)


def write_elsewhere(root):
    """Put the libraries where only the Python of the build looks for them."""
    for name in LIBRARIES:
        library = root.parent / "hooks" / name
        library.mkdir(parents=True)
        (library / "__init__.py").write_text("")


# "The system did not start from its deploy file", report 3: the check of the build was
# content with a library of the user who ran it, which the processes don't see.
def test_libraries_of_the_building_user_do_not_count_as_installed():
    with checkout() as (root, registry):
        assert finish(start_build(root, registry))[0] == 0
        write_elsewhere(root)
        shutil.rmtree(root / FOLDER / "xxhash")
        status, said = finish(start_build(root, registry))
        assert status == 0, said
        assert not missing(root)


# The same report: a folder that something else had made for its user alone was kept.
def test_another_user_can_enter_a_folder_that_was_there_before():
    with checkout() as (root, registry):
        (root / "target").mkdir(mode=0o700)
        assert finish(start_build(root, registry))[0] == 0
        assert (root / "target").stat().st_mode & 0o005 == 0o005
