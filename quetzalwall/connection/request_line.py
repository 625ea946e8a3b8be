"""Forms of a request line that the HTTP library does not read."""

__all__ = ["split_target"]

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
