import shutil

from deploy.tests.test_build import (
    LIBRARIES,
    LIBRARY_FOLDER,
    checkout,
    missing_libraries,
    start_build,
    wait_for_build,
)


def write_user_libraries(root):
    """Write libraries into a folder that is on the module path of the build only."""
    for name in LIBRARIES:
        library = root.parent / "hooks" / name
        library.mkdir(parents=True)
        (library / "__init__.py").write_text("")


# The import check of the build accepted a library of the user who ran the build, which
# the processes of instances can't import.
def test_libraries_of_the_building_user_do_not_count_as_installed():
    with checkout() as (root, registry):
        assert wait_for_build(start_build(root, registry))[0] == 0
        write_user_libraries(root)
        shutil.rmtree(root / LIBRARY_FOLDER / "xxhash")
        status, err = wait_for_build(start_build(root, registry))
        assert status == 0, err
        assert not missing_libraries(root)


# A folder that existed before the build, accessible to its owner only, stayed so.
def test_build_makes_an_existing_folder_accessible_to_other_users():
    with checkout() as (root, registry):
        (root / "target").mkdir(mode=0o700)
        assert wait_for_build(start_build(root, registry))[0] == 0
        assert (root / "target").stat().st_mode & 0o005 == 0o005
