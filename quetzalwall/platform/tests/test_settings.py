"""Reading of settings files, written by hand or rendered by the platform."""

import json
import os
import tempfile

from nose2.tools import params

from quetzalwall.exceptions import SettingsError
from quetzalwall.platform.bounds import Bounds
from quetzalwall.platform.settings import (
    InstanceSettings,
    Listen,
    read_settings,
)
from quetzalwall.tests.platform_fixtures import settings_body, write_settings

PORTS = [1, 2, 3, 4, 5, 6]
PLATFORM_FIELDS = {
    "nodeName": "front-north-a-1",
    "role": "entry",
    "ip": "10.1.0.35",
    "zone": "north-a",
    "region": "north",
    "zones": {"north-a": "north", "south-a": "south"},
    "listen": {
        "front": "10.1.0.35:8144",
        "ready": "10.1.0.35:8140",
        "control": "10.1.0.35:8146",
        "directory": "10.1.0.35:8143",
    },
    "portRange": [7660, 7675],
    "seeds": ["10.2.0.28:8146"],
    "limits": {"memoryMb": 820, "maxFds": 12300, "linkMbps": 100.0},
    "dataDir": None,
    "contracts": ["base"],
    "bounds": {"grace": "7s", "coldSlack": 6, "seedLag": "3s"},
    "platform": {"address": "10.200.1.7:8142", "form": "table"},
}


def default_body():
    return settings_body("127.0.0.1", ("127.0.0.1", 9), PORTS)


def read_text(text, *options):
    with tempfile.NamedTemporaryFile("w") as file:
        file.write(text)
        file.flush()
        return read_settings(file.name, *options)


def read_faults(changed):
    file = write_settings(changed)
    try:
        read_settings(file)
    except SettingsError as exc:
        return file, exc.faults
    finally:
        os.unlink(file)
    raise AssertionError("accepted")


def test_settings_are_read_with_their_bounds():
    file = write_settings(
        default_body() | {"bounds": {"grace": "6s", "coldSlack": "5"}}
    )
    settings = read_settings(file)
    os.unlink(file)
    assert settings.bounds.grace_s == 6.0
    assert settings.bounds.cold_slack == 5.0
    assert settings.listen.callers == ("127.0.0.1", 1)


def test_all_faults_are_reported_with_file_path_and_value():
    changed = default_body() | {"address": "here", "store": "there"}
    changed["listen"]["callers"] = "nowhere"
    file, faults = read_faults(changed)
    found = {(fault.file, fault.path, fault.value) for fault in faults}
    assert (file, "/address", "here") in found
    assert (file, "/store", "there") in found
    assert (file, "/listen/callers", "nowhere") in found


@params(("grace", "long"), ("maxShift", "much"), ("drain", None))
def test_malformed_bound_is_reported(name, value):
    ignored = []
    read_text(json.dumps(default_body() | {"bounds": {name: value}}), ignored)
    assert [fault.path for fault in ignored] == [f"/bounds/{name}"]


def test_unknown_bounds_are_ignored():
    file = write_settings(default_body() | {"bounds": {"newBound": "a lot"}})
    assert read_settings(file)
    os.unlink(file)


def render_template(**changed):
    """Return the template as the platform renders it, with some fields changed."""
    with open("deploy/settings.json.template", encoding="utf-8") as file:
        template = file.read()
    return template.replace("{{.|json}}", json.dumps(PLATFORM_FIELDS | changed))


def test_template_has_every_field_that_settings_need():
    assert read_text(render_template()) == InstanceSettings(
        instance="front-north-a-1",
        address="10.1.0.35",
        region="north",
        domain="north-a",
        domains={"north-a": "north", "south-a": "south"},
        listen=Listen(
            callers=("10.1.0.35", 8144),
            health=("10.1.0.35", 8140),
            peers=("10.1.0.35", 8146),
            lookup=("10.1.0.35", 8143),
            metrics=("10.1.0.35", 9464),
        ),
        peer_port=7660,
        seeds=[("10.2.0.28", 8146)],
        store=("10.200.1.7", 8142),
        link_mbps=100.0,
        memory_mb=820.0,
        descriptors=12300,
        config_source="operators",
        bounds=Bounds(grace_s=7.0, cold_slack=6.0),
    )


# An instance did not start if the bounds were strings instead of a dictionary.
@params(["grace=7s", "coldSlack=6"], "grace=7s,coldSlack=6", {"grace": "7s"})
def test_bounds_are_read_in_each_form(bounds):
    assert read_text(render_template(bounds=bounds)).bounds.grace_s == 7.0


# An instance did not start if the platform had no value for an optional field.
@params("seeds", "limits", "bounds", "zones", "role", "contracts")
def test_optional_platform_fields_may_be_null(name):
    settings = read_text(render_template(**{name: None}))
    assert settings.domain == "north-a" and settings.region == "north"


@params("nodeName", "ip", "zone", "listen", "portRange", "platform")
def test_null_in_required_platform_field_is_rejected(name):
    try:
        read_text(render_template(**{name: None}))
    except SettingsError as exc:
        assert "is a required property" in exc.message
    else:
        raise AssertionError("accepted")


# An instance did not start if the value of an optional field was malformed.
@params(
    ({"limits": {"memoryMb": "much"}}, "/memory_mb"),
    ({"limits": {"maxFds": 0}}, "/connections"),
    ({"limits": {"linkMbps": -1}}, "/link_mbps"),
    ({"seeds": ["front-1", "10.2.0.28:8146"]}, "/seeds/0"),
    ({"seeds": "10.2.0.28:8146"}, "/seeds"),
    ({"bounds": {"grace": "long"}}, "/bounds/grace"),
    ({"bounds": 7}, "/bounds"),
)
def test_malformed_optional_value_is_reported(changed, path):
    ignored = []
    read_text(render_template(**changed), ignored)
    assert [fault.path for fault in ignored] == [path]


def test_well_formed_values_are_kept_beside_malformed_ones():
    seeds = ["front-1", "10.2.0.28:8146"]
    bounds = {"grace": "long", "coldSlack": 6}
    settings = read_text(render_template(seeds=seeds, bounds=bounds))
    assert settings.seeds == [("10.2.0.28", 8146)]
    assert settings.bounds == Bounds(cold_slack=6.0)


# A running instance must keep its values, not use defaults, for malformed ones.
@params(
    {"seeds": "10.9.9.9:1", "bounds": {"grace": "long", "coldSlack": 7}},
    {"seeds": ["10.9.9.9"], "bounds": {"grace": True, "coldSlack": 7}},
)
def test_previous_values_replace_malformed_ones(changed):
    previous = read_text(render_template())
    settings = read_text(render_template(**changed), [], previous)
    assert settings.seeds == previous.seeds
    assert settings.bounds == previous.bounds._replace(cold_slack=7.0)


def test_previous_bounds_replace_malformed_but_not_null_bounds():
    previous = read_text(render_template())
    assert read_text(render_template(bounds=7), [], previous).bounds == previous.bounds
    assert read_text(render_template(bounds=None), [], previous).bounds == Bounds()


# A share beyond the limit, or none at all, must not turn hedging on; a running instance
# keeps its former share, as with the other optional settings.
@params(-0.1, 0.3, True, "0.1")
def test_malformed_share_of_hedged_requests_is_ignored(value):
    previous = read_text(json.dumps(default_body() | {"hedging": 0.05}))
    assert previous.hedging == 0.05
    ignored, text = [], json.dumps(default_body() | {"hedging": value})
    assert read_text(text, ignored).hedging == 0.0
    assert [fault.path for fault in ignored] == ["/hedging"]
    assert read_text(text, [], previous).hedging == 0.05
    assert read_text(json.dumps(default_body()), [], previous).hedging == 0.0


# The template renders null for a value that the platform lacks, and the instance did
# not start.
@params("seeds", "link_mbps", "memory_mb", "connections", "bounds", "configuration")
def test_null_field_is_treated_as_absent(name):
    given, absent, null = (write_settings(b) for b in _variants_of_field(name))
    try:
        assert read_settings(null) == read_settings(absent) != read_settings(given)
    finally:
        for file in (given, absent, null):
            os.unlink(file)


def _variants_of_field(name):
    values = {"memory_mb": 77.0, "connections": 77, "seeds": ["127.0.0.1:9"]}
    values |= {"link_mbps": 7.0, "bounds": {"grace": "1s"}, "configuration": "tree"}
    absent = {key: value for key, value in default_body().items() if key != name}
    return (
        default_body() | {name: values[name]},
        absent,
        default_body() | {name: None},
    )


@params("instance", "address", "listen", "peer_ports", "store")
def test_null_in_required_field_is_a_fault(name):
    _, faults = read_faults(default_body() | {name: None})
    assert len(faults) == 1 and f"'{name}' is a required property" in faults[0].message
