import os
import pwd
from contextlib import contextmanager
from unittest import mock

from quetzalwall.cli.main import create_parser
from quetzalwall.cli.settings_command import default_author

USER_VARIABLES = ("LOGNAME", "USER", "LNAME", "USERNAME")


@contextmanager
def nameless_user():
    """Make this process run as a user without a name; yields the look-up's mock."""
    getpwuid = mock.Mock(side_effect=KeyError("getpwuid(): uid not found"))
    environ = {
        name: text for name, text in os.environ.items() if name not in USER_VARIABLES
    }
    with (
        mock.patch.object(pwd, "getpwuid", getpwuid),
        mock.patch.dict(os.environ, environ, clear=True),
    ):
        yield getpwuid


# Each subcommand looked up the name of its user. Where the user has only a number, it
# ended with a traceback, and so did the daemon.
def test_daemon_start_does_not_look_up_the_user_name():
    with nameless_user() as getpwuid:
        args = create_parser().parse_args(["front", "--settings", "file"])
    assert args.settings == "file"
    assert not getpwuid.called


def test_default_author_of_a_user_without_a_name_is_the_number():
    with nameless_user():
        assert default_author() == f"user {os.geteuid()}"
