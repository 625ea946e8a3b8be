import os
import pwd
from contextlib import contextmanager
from unittest import mock

from quetzalwall.cli.main import create_parser
from quetzalwall.cli.settings_command import own_name

VARIABLES = ("LOGNAME", "USER", "LNAME", "USERNAME")


@contextmanager
def nameless():
    """Have this process run as a user who has no name."""
    asked = mock.Mock(side_effect=KeyError("getpwuid(): uid not found"))
    kept = {name: text for name, text in os.environ.items() if name not in VARIABLES}
    with (
        mock.patch.object(pwd, "getpwuid", asked),
        mock.patch.dict(os.environ, kept, clear=True),
    ):
        yield asked


# "The system did not start", report 3: each command asked for the name of its user, the
# daemon as well, and ended with a stack where the user has only a number.
def test_a_start_does_not_ask_for_the_name_of_its_user():
    with nameless() as asked:
        args = create_parser().parse_args(["front", "--settings", "file"])
    assert args.settings == "file"
    assert not asked.called


def test_a_user_without_a_name_signs_with_a_number():
    with nameless():
        assert own_name() == f"user {os.geteuid()}"
