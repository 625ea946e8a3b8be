"""Forms of a request line that the HTTP library does not read."""

__all__ = ["await_request_line", "split_target"]

MAX_EMPTY_BYTES = 8  # of empty lines before a request line

SCHEMES = ("http://", "https://")


def split_target(target):
    """Return the host that a target names, and the target without it.

    Clients may send the absolute form to any server (RFC 9112, 3.2.2).

    Parameters
    ----------
    target : str
        Target of a request line.

    Returns
    -------
    (str, str)
        The host is empty in the usual form, which is returned unchanged.

    Examples
    --------
    >>> split_target("/look/1?a=b")
    ('', '/look/1?a=b')
    >>> split_target("http://shop.example:80/look/1?a=b")
    ('shop.example:80', '/look/1?a=b')
    >>> split_target("HTTP://shop.example?a=b")
    ('shop.example', '/?a=b')
    """
    for scheme in SCHEMES:
        if target[: len(scheme)].lower() == scheme:
            rest = target[len(scheme) :]
            end = min(
                (rest.index(mark) for mark in "/?" if mark in rest), default=len(rest)
            )
            path = rest[end:]
            return rest[:end], path if path.startswith("/") else f"/{path}"
    return "", target


def await_request_line(rfile):
    """Wait for the first byte of a request line, and drop empty lines before it.

    Some callers send an empty line behind a body (RFC 9112, 2.2).

    Parameters
    ----------
    rfile : io.BufferedReader
        Reads from the connection.

    Returns
    -------
    bool
        False if the connection has ended.
    """
    for _ in range(MAX_EMPTY_BYTES):
        first = rfile.peek(1)[:1]
        if first not in (b"\r", b"\n"):
            return bool(first)
        rfile.read(1)
    return bool(rfile.peek(1))
