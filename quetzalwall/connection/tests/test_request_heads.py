import io
import socket

import gevent.socket

from quetzalwall.connection.head_rejections import HeadRejected
from quetzalwall.connection.memory_budget import MemoryBudget
from quetzalwall.connection.request_heads import RequestHeads
from quetzalwall.tests.platform_fixtures import ManualClock

CAPACITY = 200_000


def create_heads():
    clock = ManualClock()
    budget = MemoryBudget(CAPACITY)
    return RequestHeads(budget, clock.monotonic), clock, budget


def begin_head(heads, text, server="callers"):
    """Return a head whose bytes have all arrived, and a socket for its connection."""
    sock = gevent.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    return heads.begin(sock, io.BufferedReader(io.BytesIO(text)), server), sock


def status_of(call, *args):
    """Return the status of the rejection that a call raises; None without one."""
    try:
        call(*args)
    except HeadRejected as exc:
        return exc.status
    return None


# A configuration that allows callers more than usual must raise the limits, and one
# that allows them less must not lower them.
def test_the_limits_stay_above_those_of_the_configuration():
    heads, _, _ = create_heads()
    heads.configure(100, 0.1)
    assert (heads.max_bytes, heads.max_s) == (32 * 1024, 12.0)
    assert heads.max_lines == 4096  # of four bytes each in 16 KB
    heads.configure(100_000, 10.0)
    assert (heads.max_bytes, heads.max_s) == (200_000, 40.0)
    assert heads.max_lines == 25_000


# A head must not begin to run if its bytes arrive while it is being given up.
def test_a_head_that_was_given_up_cannot_be_completed():
    heads, clock, _ = create_heads()
    head, sock = begin_head(heads, b"GET / HTTP/1.1\r\n\r\n")
    clock.now += heads.max_s
    with sock:
        heads.close_overdue()
        assert status_of(head.finish) == 408


def test_a_complete_head_is_never_given_up_and_keeps_its_memory():
    heads, clock, budget = create_heads()
    head, sock = begin_head(heads, b"a" * 9000 + b"\r\n")
    with sock:
        head.readline(10_000)
        head.finish()
        clock.now += 2 * heads.max_s
        heads.close_overdue()
        assert heads.evict("callers", 1) == 0 and head.expired is None
        assert budget.used_bytes == head.reserved_bytes > 9000
        head.close()
        head.close()
    assert budget.used_bytes == 0


# A listener without free connections must not close heads that are on time.
def test_only_heads_of_the_listener_that_are_late_give_their_connections_up():
    heads, clock, _ = create_heads()
    late, other, young = (
        begin_head(heads, b"", server) for server in ("callers", "health", "callers")
    )
    heads.remove(young[0])
    clock.now += heads.max_s / 2
    young = begin_head(heads, b"")
    assert heads.evict("callers", 3) == 1
    assert late[0].expired == 408
    assert other[0].expired is None and young[0].expired is None


def test_lines_and_bytes_of_a_head_are_limited():
    heads, _, _ = create_heads()
    many, sock = begin_head(heads, b"a: b\r\n" * 200)
    heads.max_lines = 100
    with sock:
        read = [status_of(many.readline, 65537) for _ in range(102)]
        assert read == [None] * 101 + [431]  # the request line and 100 lines
    many.close()
    long, sock = begin_head(heads, b"a" * 40_000)
    with sock:
        assert status_of(long.readline, 65537) == 431
