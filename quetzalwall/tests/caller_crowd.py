"""Callers in a process of their own that send input of one kind for a while.

Run as ``python -m quetzalwall.tests.caller_crowd HOST PORT CALLERS FIRST AGAIN PAUSE``.
Each caller sends FIRST, then AGAIN repeatedly; both are texts in hexadecimal with a
number of repetitions, as `encode_text` writes them. A caller without AGAIN reads what
it gets; with a PAUSE it reads slowly. A caller whose connection is closed opens another
one.
"""

import sys

import gevent
import gevent.socket

__all__ = ["decode_text", "encode_text", "run_caller"]

RECONNECT_PAUSE_S = 0.05
CONNECT_TIMEOUT_S = 5.0
READ_BYTES = 65536
SLOW_READ_BYTES = 1024


def encode_text(prefix, text="", times=0):
    """Return an argument that stands for a prefix and a repeated text."""
    return f"{prefix.encode().hex()}+{text.encode().hex()}*{times}"


def decode_text(argument):
    """Return the bytes that `encode_text` describes."""
    prefix, _, rest = argument.partition("+")
    text, _, times = rest.partition("*")
    return bytes.fromhex(prefix) + bytes.fromhex(text) * int(times)


def run_caller(address, first, again, pause_s):
    """Send input on one connection after the other, without end."""
    while True:
        try:
            with gevent.socket.socket() as sock:
                read_bytes = READ_BYTES
                if pause_s and not again:
                    read_bytes = SLOW_READ_BYTES
                    option = gevent.socket.SO_RCVBUF, SLOW_READ_BYTES
                    sock.setsockopt(gevent.socket.SOL_SOCKET, *option)
                sock.settimeout(CONNECT_TIMEOUT_S)
                sock.connect(address)
                sock.settimeout(None)
                sock.sendall(first)
                while again:
                    sock.sendall(again)
                    gevent.sleep(pause_s)
                while sock.recv(read_bytes):
                    gevent.sleep(pause_s)
        except OSError:
            pass
        gevent.sleep(RECONNECT_PAUSE_S)


def main(host, port, callers, first, again, pause_s):
    """Run callers until the process is killed."""
    address = host, int(port)
    texts = decode_text(first), decode_text(again)
    tasks = [
        gevent.spawn(run_caller, address, *texts, float(pause_s))
        for _ in range(int(callers))
    ]
    gevent.joinall(tasks)


if __name__ == "__main__":
    main(*sys.argv[1:])
