"""Compressed bodies of responses between instances, by a content coding of HTTP."""

import zlib

__all__ = ["ACCEPTED", "CODING", "accepts_compressed", "compress", "decompress"]

CODING = "deflate"  # RFC 9110: the zlib format
ACCEPTED = {"Accept-Encoding": CODING}
MIN_BYTES = 4096  # shorter bodies fit a few packets anyway
LEVEL = 1


def accepts_compressed(environ):
    """Return whether the sender of a request accepts a compressed response.

    Parameters
    ----------
    environ : dict
        WSGI environment.

    Returns
    -------
    bool
    """
    codings = environ.get("HTTP_ACCEPT_ENCODING", "").split(",")
    return CODING in (coding.strip().lower() for coding in codings)


def compress(raw):
    """Return a body and the headers that name its coding.

    Parameters
    ----------
    raw : bytes
        The body.

    Returns
    -------
    (bytes, list of (str, str))
        The body itself and no headers if it is short.
    """
    if len(raw) < MIN_BYTES:
        return raw, []
    return zlib.compress(raw, LEVEL), [("Content-Encoding", CODING)]


def decompress(raw, coding, max_bytes):
    """Return the body of a response.

    Parameters
    ----------
    raw : bytes
        The body as it was received.
    coding : str
        Its content coding; empty if it has none.
    max_bytes : int
        Maximum length of the result.

    Returns
    -------
    bytes

    Raises
    ------
    ValueError
        The coding is unknown, or the body malformed, truncated or too long.
    """
    if not coding:
        return raw
    if coding.lower() != CODING:
        raise ValueError(f"body in an unknown coding: {coding[:40]}")
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(raw, max_bytes)
    except zlib.error as exc:
        raise ValueError(f"compressed body is malformed: {exc}") from exc
    if not decompressor.eof:
        raise ValueError(f"body is truncated, or longer than {max_bytes} bytes")
    return body
