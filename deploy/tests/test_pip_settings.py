import os
import tempfile
from pathlib import Path
from unittest.mock import patch

from deploy.tests.test_build import (
    checkout,
    missing_libraries,
    start_build,
    wait_for_build,
)

PIP_VARIABLES = {
    "USER": "1",
    "PREFIX": "ELSEWHERE",
    "ROOT": "ELSEWHERE",
    "DRY_RUN": "1",
}
PIP_FILES = ("[global]\nuser = true\n", "[install]\ndry-run = true\n")


# Settings of pip that the building user had for other work, in variables or files, made
# the build fail or install elsewhere.
def test_pip_variables_of_the_user_do_not_affect_the_installation():
    failures = {
        name: _build_failure(f"PIP_{name}", text)
        for name, text in PIP_VARIABLES.items()
    }
    assert not any(failures.values()), failures


def test_pip_file_of_the_user_does_not_affect_the_installation():
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "pip.conf"
        failures = {}
        for text in PIP_FILES:
            file.write_text(text)
            failures[text] = _build_failure("PIP_CONFIG_FILE", str(file))
    assert not any(failures.values()), failures


def _build_failure(variable, value):
    """Return the output of a build that fails with a variable set, or None."""
    with checkout() as (root, registry):
        program = root / "deploy/build.py"
        program.write_text(
            program.read_text().replace("RETRY_PAUSE_S = 5.0", "RETRY_PAUSE_S = 0")
        )
        value = value.replace("ELSEWHERE", str(root.parent / "elsewhere"))
        with patch.dict(os.environ, {variable: value}):
            status, err = wait_for_build(start_build(root, registry))
        return err if status or missing_libraries(root) else None
