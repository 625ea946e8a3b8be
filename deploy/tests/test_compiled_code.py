import shutil
import sys

from deploy.tests.test_build import ROOT, checkout, start_build, wait_for_build


# Where the user that runs the instances can't write into the checkout, each start of an
# instance compiled the whole package, so that a large deployment started too slowly.
def test_build_compiles_the_package():
    with checkout() as (root, registry):
        ignore = shutil.ignore_patterns("__pycache__", "tests")
        shutil.copytree(ROOT / "quetzalwall", root / "quetzalwall", ignore=ignore)
        status, err = wait_for_build(start_build(root, registry))
        assert status == 0, err
        tag = sys.implementation.cache_tag
        for file in (root / "quetzalwall").rglob("*.py"):
            assert (file.parent / "__pycache__" / f"{file.stem}.{tag}.pyc").exists()
