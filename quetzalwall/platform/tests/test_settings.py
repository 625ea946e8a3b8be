import json
import os

from nose2.tools import params

from quetzalwall.exceptions import SettingsError
from quetzalwall.platform.settings import read_settings
from quetzalwall.tests.platform_fixtures import settings_body, write_settings

PORTS = [1, 2, 3, 4, 5, 6]


def body():
    return settings_body("127.0.0.1", ("127.0.0.1", 9), PORTS)


def faults_of(changed):
    file = write_settings(changed)
    try:
        read_settings(file)
    except SettingsError as exc:
        return file, exc.faults
    finally:
        os.unlink(file)
    raise AssertionError("accepted")


def test_settings_are_read_with_their_bounds():
    file = write_settings(body() | {"bounds": {"grace": "6s", "coldSlack": "5"}})
    settings = read_settings(file)
    os.unlink(file)
    assert settings.bounds.grace_s == 6.0
    assert settings.bounds.cold_slack == 5.0
    assert settings.listen.callers == ("127.0.0.1", 1)


def test_all_faults_are_named_at_once_with_file_path_and_value():
    changed = body() | {"address": "here", "store": "there"}
    changed["listen"]["callers"] = "nowhere"
    file, faults = faults_of(changed)
    found = {(fault.file, fault.path, fault.value) for fault in faults}
    assert (file, "/address", "here") in found
    assert (file, "/store", "there") in found
    assert (file, "/listen/callers", "nowhere") in found


@params(("grace", "long"), ("maxShift", "much"), ("drain", None))
def test_faulty_bound_is_named(name, value):
    _, faults = faults_of(body() | {"bounds": {name: value}})
    assert [fault.path for fault in faults] == [f"/bounds/{name}"]


def test_bounds_that_are_not_known_are_ignored():
    file = write_settings(body() | {"bounds": {"newBound": "a lot"}})
    assert read_settings(file)
    os.unlink(file)


def test_template_holds_every_field_that_settings_need():
    with open("deploy/settings.json.template", encoding="utf-8") as file:
        text = file.read()
    for name in body():
        assert f'"{name}"' in text, name
    assert json.dumps("callers") in text


# A template gives null for what an installation lacks; the instance did not start.
@params("seeds", "link_mbps", "memory_mb", "connections", "bounds", "configuration")
def test_a_field_without_a_value_counts_as_not_given(name):
    whole, without, null = (write_settings(b) for b in _variants(name))
    try:
        assert read_settings(null) == read_settings(without) != read_settings(whole)
    finally:
        for file in (whole, without, null):
            os.unlink(file)


def _variants(name):
    values = {"memory_mb": 77.0, "connections": 77, "seeds": ["127.0.0.1:9"]}
    values |= {"link_mbps": 7.0, "bounds": {"grace": "1s"}, "configuration": "tree"}
    without = {key: value for key, value in body().items() if key != name}
    return body() | {name: values[name]}, without, body() | {name: None}


@params("instance", "address", "listen", "peer_ports", "store")
def test_a_required_field_without_a_value_is_a_fault(name):
    _, faults = faults_of(body() | {name: None})
    assert len(faults) == 1 and f"'{name}' is a required property" in faults[0].message
