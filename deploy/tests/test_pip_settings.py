import os
import tempfile
from pathlib import Path
from unittest.mock import patch

from deploy.tests.test_build import checkout, finish, missing, start_build

VARIABLES = {
    "USER": "1",
    "PREFIX": "ELSEWHERE",
    "ROOT": "ELSEWHERE",
    "DRY_RUN": "1",
}
FILES = ("[global]\nuser = true\n", "[install]\ndry-run = true\n")


# "The system did not start from its deploy file", report 3: settings of pip for
# other work of the building user, by variable and file, failed the build or moved it.
def test_pip_settings_of_the_user_do_not_move_the_installation():
    wrong = {name: _failure(f"PIP_{name}", text) for name, text in VARIABLES.items()}
    assert not any(wrong.values()), wrong


def test_a_pip_file_of_the_user_does_not_move_the_installation():
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "pip.conf"
        wrong = {}
        for text in FILES:
            file.write_text(text)
            wrong[text] = _failure("PIP_CONFIG_FILE", str(file))
    assert not any(wrong.values()), wrong


def _failure(variable, value):
    """Return what a build says that fails where a variable is set, or None."""
    with checkout() as (root, registry):
        program = root / "deploy/build.py"
        program.write_text(program.read_text().replace("PAUSE_S = 5.0", "PAUSE_S = 0"))
        value = value.replace("ELSEWHERE", str(root.parent / "elsewhere"))
        with patch.dict(os.environ, {variable: value}):
            status, said = finish(start_build(root, registry))
        return said if status or missing(root) else None
