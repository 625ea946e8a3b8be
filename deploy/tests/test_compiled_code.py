import shutil
import sys

from deploy.tests.test_build import ROOT, checkout, finish, start_build


# "The day takes too long to play", at scale: where the user of the instances can write
# nothing into the checkout, each start compiled all of the own code.
def test_a_build_leaves_no_own_code_to_be_compiled_at_each_start():
    with checkout() as (root, registry):
        ignore = shutil.ignore_patterns("__pycache__", "tests")
        shutil.copytree(ROOT / "quetzalwall", root / "quetzalwall", ignore=ignore)
        code, said = finish(start_build(root, registry))
        assert code == 0, said
        tag = sys.implementation.cache_tag
        for file in (root / "quetzalwall").rglob("*.py"):
            assert (file.parent / "__pycache__" / f"{file.stem}.{tag}.pyc").exists()
