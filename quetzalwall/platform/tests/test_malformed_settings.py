"""Settings with malformed values: which are ignored, and which prevent the start."""

import os
import time

from quetzalwall.exceptions import SettingsError
from quetzalwall.platform.settings import read_settings
from quetzalwall.tests.daemon_fixture import START_TIMEOUT_S, running_daemon
from quetzalwall.tests.platform_fixtures import settings_body, write_settings

PORTS = [1, 2, 3, 4, 5, 6]
MALFORMED_FIELDS = {
    "link_mbps": ("", "many", 0, -1, True, [], float("inf")),
    "memory_mb": ("", "many", 0, True, {}, float("inf")),
    "connections": ("", "many", 0, 4100.5, []),
    "bounds": (False, "a lot", 7, ["a lot"]),
}
MALFORMED_BOUNDS = {
    "grace": ("", None, "long", "6min", True, [6], {"s": 6}, "-1s"),
    "maxShift": ("", None, "15%", [], "nan", "inf", "-1"),
}
MALFORMED_SEEDS = ("", None, "a:b:c", "10.0.0.300:1", "10.0.0.1:70000", 7)
IMPOSSIBLE_ADDRESSES = (
    ("address", "10.0.0.300"),
    ("store", "10.0.0.300:1"),
    ("store", "10.0.0.1:70000"),
    ("store", "10.0.0.1:0"),
)


def default_body():
    return settings_body("127.0.0.1", ("127.0.0.1", 9), PORTS)


def read_settings_with(**fields):
    """Return the settings with some fields changed, or the message of the error."""
    file = write_settings(default_body() | fields)
    try:
        return read_settings(file)
    except SettingsError as exc:
        return exc.message
    finally:
        os.unlink(file)


# The platform documents bounds as a list of strings or as one string. Only a dictionary
# was accepted, so that the system did not start from its deploy file.
def test_bounds_are_read_from_strings():
    forms = (["grace=7s", "coldSlack=9"], "grace=7s,coldSlack=9")
    read = [read_settings_with(bounds=form) for form in forms]
    expected = read_settings_with(bounds={"grace": "7s", "coldSlack": 9})
    assert read == [expected, expected], read


# One malformed value of an optional field made every start fail.
def test_malformed_optional_field_gets_its_default():
    failures = []
    for name, values in MALFORMED_FIELDS.items():
        default = read_settings_with(**{name: None})
        read = [(name, value, read_settings_with(**{name: value})) for value in values]
        failures += [case for case in read if case[2] != default]
    assert not failures, failures


def test_malformed_bound_gets_its_default_and_others_are_read():
    failures = []
    default = read_settings_with(bounds={"drain": "3s"})
    for name, values in MALFORMED_BOUNDS.items():
        for value in values:
            read = read_settings_with(bounds={"drain": "3s", name: value})
            failures += [(name, value, read)] if read != default else []
    assert not failures, failures


def test_malformed_seed_is_ignored_and_others_are_read():
    default = read_settings_with(seeds=["10.0.0.1:5"])
    read = {
        str(seed): read_settings_with(seeds=["10.0.0.1:5", seed])
        for seed in MALFORMED_SEEDS
    }
    assert all(settings == default for settings in read.values()), read


def test_each_malformed_value_is_logged_at_start():
    malformed = {"link_mbps": "many", "bounds": {"grace": "long"}}
    with running_daemon(malformed) as daemon:
        end = time.monotonic() + START_TIMEOUT_S
        while not daemon.has_started() and daemon.process.poll() is None:
            assert time.monotonic() < end
            time.sleep(0.05)
        output = daemon.read_output()
    assert "event=started" in output, output
    for text in ("link_mbps", "many", "bounds/grace", "long"):
        assert text in output, output


# An address that can't exist was accepted, so that the instance served nothing.
def test_impossible_required_address_is_rejected():
    failures = []
    for name, value in IMPOSSIBLE_ADDRESSES:
        read = read_settings_with(**{name: value})
        rejected = isinstance(read, str) and f"/{name}" in read and value in read
        failures += [] if rejected else [(name, value, read)]
    assert not failures, failures


# A port written as a float, such as 7660.0, ended the start with a stack trace.
def test_port_written_as_a_float_becomes_an_integer():
    assert isinstance(read_settings_with(peer_ports=[7660.0, 7675.0]).peer_port, int)
