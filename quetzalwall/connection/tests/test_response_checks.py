"""Bytes that are not a response: their status or the name of a field is invalid."""

from geventhttpclient.response import HTTPParseError
from nose2.tools import params

from quetzalwall.connection.json_client import create_json_client
from quetzalwall.connection.response_parser import ResponseParser
from quetzalwall.exceptions import PeerError
from quetzalwall.tests.product_fixtures import read_request_head, scripted_server

OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 2\r\n"
END = LENGTH + b"\r\n{}"
STATUSES = (b"000", b"001", b"099", b"600", b"999")
FIELDS = (
    *(
        b"A%bB: c\r\n" % byte
        for byte in (b" ", b"\t", b"\0", b"\x01", b"\x1f", b"\x7f")
    ),
    *(b"%bA: c\r\n" % byte for byte in (b" ", b"\t", b"\0", b"\x0b")),
    *(b"A%b: c\r\n" % byte for byte in (b" ", b"\t", b"\0", b"\r", b"\n", b"\r\n")),
    b"A: c\r\n b: d\r\n",
    b"A: c\r\n\tb: d\r\n",
    b"A:\r\n b: d\r\n",
    b"A: c\n b: d\r\n",
    b"A: c\r b: d\r\n",
    b"A: c\nb c: d\r\n",
    b"A: c\rb c: d\r\n",
    b"Connection : close\r\n",
    b"Content-Length : 2\r\n",
    b" : c\r\n",
    b"A b\r\n",
)
CHUNKS = OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"


def assert_no_response(raw):
    """Fail unless the bytes are rejected as soon as the faulty head is complete."""
    for method in ("GET", "POST", "HEAD"):
        for segments in ([raw], [raw[i : i + 1] for i in range(len(raw))]):
            parser = ResponseParser(method)
            try:
                for segment in segments:
                    parser.feed(segment)
            except HTTPParseError:
                assert parser.responses == []
                continue
            raise AssertionError(f"not rejected for {method}")


def assert_json_call_fails(raw):
    def handle(sock):
        read_request_head(sock)
        sock.sendall(raw)

    with scripted_server(handle) as port:
        client = create_json_client("127.0.0.1", port, "peer")
        try:
            found = client.call("GET", "/x")
        except PeerError:
            return
        finally:
            client.close()
    raise AssertionError(found)


# 600 was passed on to the caller; 000 was taken for an interim response, so that the
# attempt waited for another one until its deadline.
@params(*STATUSES)
def test_status_outside_100_to_599_is_no_response(status):
    raw = b"HTTP/1.1 %b OK\r\n" % status + END
    assert_no_response(raw)
    assert_no_response(b"HTTP/1.1 103 Hints\r\n\r\n" + raw)
    assert_json_call_fails(raw)
    assert_json_call_fails(raw + OK + END)


# Such a field could hide a length or a name that another reader of the bytes finds.
@params(*FIELDS)
def test_blank_or_control_byte_in_the_name_of_a_field_is_no_response(field):
    for raw in (
        OK + field + END,
        OK + b"X: y\r\n" + field + END,
        OK + LENGTH + field + b"\r\n{}",
        b"HTTP/1.1 103 Hints\r\n" + field + b"\r\n" + OK + END,
        b"HTTP/1.1 103 Hints\r\n\r\n" + OK + field + END,
    ):
        assert_no_response(raw)
        assert_json_call_fails(raw)
    parser = ResponseParser("GET")
    try:
        parser.feed(CHUNKS + field + b"\r\n")
        raise AssertionError("trailer not rejected")
    except HTTPParseError:
        assert parser.responses == []
    assert_json_call_fails(CHUNKS + field + b"\r\n")


# The check of names must not depend on how lenient the library's parser is.
@params("a b", "a\tb", "a\0", "a\x7f", " ", "a\r", "a\n", "é")
def test_name_of_a_field_is_checked_if_the_library_accepts_it(name):
    for parser in (ResponseParser("GET"), ResponseParser("HEAD")):
        try:
            parser._on_header_field(name)
            raise AssertionError("not rejected")
        except HTTPParseError:
            pass
