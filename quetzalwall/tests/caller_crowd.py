"""Callers in a process of their own that send input of one kind for a while.

Run as ``python -m quetzalwall.tests.caller_crowd HOST PORT CALLERS FIRST AGAIN PAUSE``.
Each caller sends FIRST, then AGAIN repeatedly; both are texts in hexadecimal with a
number of repetitions, as in ``61*1000``. A caller whose connection is closed opens
another one.
"""

import sys

import gevent
import gevent.socket

__all__ = ["decode_text", "encode_text", "run_caller"]

RECONNECT_PAUSE_S = 0.05
CONNECT_TIMEOUT_S = 5.0


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
            sock = gevent.socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
            with sock:
                sock.settimeout(None)
                sock.sendall(first)
                while again:
                    sock.sendall(again)
                    gevent.sleep(pause_s)
                while sock.recv(65536):
                    pass
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
