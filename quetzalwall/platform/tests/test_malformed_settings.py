import os
import time

from quetzalwall.exceptions import SettingsError
from quetzalwall.platform.settings import read_settings
from quetzalwall.tests.daemon_fixture import START_TIMEOUT_S, running_daemon
from quetzalwall.tests.platform_fixtures import settings_body, write_settings

PORTS = [1, 2, 3, 4, 5, 6]
ODD_FIELDS = {
    "link_mbps": ("", "many", 0, -1, True, [], float("inf")),
    "memory_mb": ("", "many", 0, True, {}, float("inf")),
    "connections": ("", "many", 0, 4100.5, []),
    "bounds": (False, "a lot", 7, ["a lot"]),
}
ODD_BOUNDS = {
    "grace": ("", None, "long", "6min", True, [6], {"s": 6}, "-1s"),
    "maxShift": ("", None, "15%", [], "nan", "inf", "-1"),
}
ODD_SEEDS = ("", None, "a:b:c", "10.0.0.300:1", "10.0.0.1:70000", 7)
IMPOSSIBLE = (
    ("address", "10.0.0.300"),
    ("store", "10.0.0.300:1"),
    ("store", "10.0.0.1:70000"),
    ("store", "10.0.0.1:0"),
)


def body():
    return settings_body("127.0.0.1", ("127.0.0.1", 9), PORTS)


def read_with(**fields):
    """Return the settings with some fields changed, or the text of a refusal."""
    file = write_settings(body() | fields)
    try:
        return read_settings(file)
    except SettingsError as exc:
        return exc.message
    finally:
        os.unlink(file)


# "The system did not start from its deploy file", report 3: the pages have the
# bounds as a list of texts, or one text; any form but a table was refused.
def test_bounds_are_read_as_the_pages_write_them():
    forms = (["grace=7s", "coldSlack=9"], "grace=7s,coldSlack=9")
    read = [read_with(bounds=form) for form in forms]
    wanted = read_with(bounds={"grace": "7s", "coldSlack": 9})
    assert read == [wanted, wanted], read


# The same report: one optional value that can't be read ended each start for good.
def test_an_odd_optional_field_leaves_its_default():
    wrong = []
    for name, values in ODD_FIELDS.items():
        default = read_with(**{name: None})
        read = [(name, value, read_with(**{name: value})) for value in values]
        wrong += [case for case in read if case[2] != default]
    assert not wrong, wrong


def test_an_odd_bound_leaves_its_default_and_the_other_bounds():
    wrong = []
    default = read_with(bounds={"drain": "3s"})
    for name, values in ODD_BOUNDS.items():
        for value in values:
            read = read_with(bounds={"drain": "3s", name: value})
            wrong += [(name, value, read)] if read != default else []
    assert not wrong, wrong


def test_an_odd_seed_leaves_the_others():
    default = read_with(seeds=["10.0.0.1:5"])
    read = {str(seed): read_with(seeds=["10.0.0.1:5", seed]) for seed in ODD_SEEDS}
    assert all(settings == default for settings in read.values()), read


def test_a_running_instance_has_named_each_odd_value_in_a_warning():
    odd = {"link_mbps": "many", "bounds": {"grace": "long"}}
    with running_daemon(odd) as process:
        end = time.monotonic() + START_TIMEOUT_S
        while not process.has_started() and process.process.poll() is None:
            assert time.monotonic() < end
            time.sleep(0.05)
        said = process.read_output()
    assert "event=started" in said, said
    for text in ("link_mbps", "many", "bounds/grace", "long"):
        assert text in said, said


# The same report: an address that can't exist was taken, and nothing was served.
def test_a_required_address_that_can_not_exist_is_refused():
    wrong = []
    for name, value in IMPOSSIBLE:
        read = read_with(**{name: value})
        refused = isinstance(read, str) and f"/{name}" in read and value in read
        wrong += [] if refused else [(name, value, read)]
    assert not wrong, wrong


# The same report: a whole number written as a fraction ended the start with a stack.
def test_a_port_written_as_a_fraction_is_a_whole_number():
    assert isinstance(read_with(peer_ports=[7660.0, 7675.0]).peer_port, int)
