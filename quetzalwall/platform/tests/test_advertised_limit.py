"""Parsing of the limit that an endpoint advertises in a response."""

from nose2.tools import params

from quetzalwall.platform.headers import parse_response

STAMP = ("X-Quetzalwall-Server-Stamp", "s")


def parse_limit_headers(*values, name="Server-Limit"):
    return parse_response(200, [STAMP, *((name, value) for value in values)])


@params(("5", 5.0), ("0", 0.0), ("0.25", 0.25), (" 12.5 ", 12.5), ("1000000", 1e6))
def test_decimal_number_is_parsed_as_limit(text, limit_per_s):
    for name in ("Server-Limit", "server-limit", "X-Quetzalwall-Server-Limit"):
        metadata = parse_limit_headers(text, name=name)
        assert metadata.limit_per_s == limit_per_s
        assert not metadata.malformed_limit
        assert metadata.headers == [STAMP]  # it is for instances, not callers


@params("", " ", "-1", "+5", "nan", "inf", "1e400", "1e3", "0x10", "5/s", "5,5", ".")
def test_malformed_value_is_no_limit(text):
    metadata = parse_limit_headers(text)
    assert metadata.limit_per_s is None
    assert metadata.malformed_limit


@params("9" * 400, "0." + "9" * 400, "\u0665", "5\x00")
def test_number_too_long_or_with_other_characters_is_no_limit(text):
    metadata = parse_limit_headers(text)
    assert metadata.limit_per_s is None
    assert 0 < len(metadata.malformed_limit) <= 60


def test_repeated_header_is_no_limit():
    assert parse_limit_headers("5", "5").limit_per_s is None
    assert parse_limit_headers("5", "6").malformed_limit == "5, 6"
    items = [STAMP, ("Server-Limit", "5"), ("X-Quetzalwall-Server-Limit", "6")]
    assert parse_response(200, items).limit_per_s is None


def test_response_without_header_has_no_limit():
    metadata = parse_limit_headers()
    assert metadata.limit_per_s is None
    assert not metadata.malformed_limit
