"""Headers of callers' requests."""

from quetzalwall.connection.http_server import BadRequest

__all__ = ["MAX_KEY_LENGTH", "caller_headers", "idempotency_key", "patience_s"]

MAX_KEY_LENGTH = 200
PATIENCE_HEADER = "HTTP_X_DEADLINE_MS"
KEY_VARIABLE = "HTTP_IDEMPOTENCY_KEY"


def patience_s(environ):
    """Return how long the caller is ready to wait.

    Parameters
    ----------
    environ : dict
        WSGI environment.

    Returns
    -------
    float or None
        Seconds; None if it did not say.

    Raises
    ------
    BadRequest
        The header is not a number.
    """
    text = environ.get(PATIENCE_HEADER)
    if text is None:
        return None
    if not text.isdigit() or len(text) > 12:
        raise BadRequest(400, f"X-Deadline-Ms is not a number: {text[:40]}")
    return int(text) / 1000


def idempotency_key(environ):
    """Return the key under which a request may run once.

    Parameters
    ----------
    environ : dict
        WSGI environment.

    Returns
    -------
    str

    Raises
    ------
    BadRequest
        The key is missing or malformed.
    """
    key = environ.get(KEY_VARIABLE, "")
    if not key:
        raise BadRequest(400, "this request needs an Idempotency-Key header")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise BadRequest(400, f"Idempotency-Key is longer than {MAX_KEY_LENGTH}")
    return key


def caller_headers(environ):
    """Return the headers of a caller's request.

    Parameters
    ----------
    environ : dict
        WSGI environment.

    Returns
    -------
    dict of str to str
    """
    headers = {}
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            headers[name[5:].replace("_", "-").title()] = value
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers
