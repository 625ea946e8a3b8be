"""The limit that an endpoint names in an answer."""

from nose2.tools import params

from quetzalwall.platform.headers import parse_response

STAMP = ("X-Quetzalwall-Server-Stamp", "s")


def facts_of(*values, name="Server-Limit"):
    return parse_response(200, [STAMP, *((name, value) for value in values)])


@params(("5", 5.0), ("0", 0.0), ("0.25", 0.25), (" 12.5 ", 12.5), ("1000000", 1e6))
def test_a_decimal_number_names_a_limit(text, per_s):
    for name in ("Server-Limit", "server-limit", "X-Quetzalwall-Server-Limit"):
        facts = facts_of(text, name=name)
        assert facts.limit_per_s == per_s
        assert not facts.malformed_limit
        assert facts.headers == [STAMP]  # it concerns instances, not callers


@params("", " ", "-1", "+5", "nan", "inf", "1e400", "1e3", "0x10", "5/s", "5,5", ".")
def test_an_odd_value_names_no_limit(text):
    facts = facts_of(text)
    assert facts.limit_per_s is None
    assert facts.malformed_limit


@params("9" * 400, "0." + "9" * 400, "\u0665", "5\x00")
def test_a_value_that_no_number_should_have_names_no_limit(text):
    facts = facts_of(text)
    assert facts.limit_per_s is None
    assert 0 < len(facts.malformed_limit) <= 60


def test_two_headers_name_no_limit():
    assert facts_of("5", "5").limit_per_s is None
    assert facts_of("5", "6").malformed_limit == "5, 6"
    items = [STAMP, ("Server-Limit", "5"), ("X-Quetzalwall-Server-Limit", "6")]
    assert parse_response(200, items).limit_per_s is None


def test_an_answer_without_the_header_names_none():
    facts = facts_of()
    assert facts.limit_per_s is None
    assert not facts.malformed_limit
