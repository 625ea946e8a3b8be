"""Header fields of request heads.

The reader of `http.client` allows 100 lines; here, the limits of the head hold.
"""

from email.parser import Parser

from gevent.pywsgi import OldMessage

__all__ = ["read_fields"]

ENDS = (b"\r\n", b"\n")


def read_fields(head, max_line_bytes):
    """Read and parse the fields of a head.

    Parameters
    ----------
    head : RequestHead
        The head, whose request line has been read.
    max_line_bytes : int
        Maximum length of a line.

    Returns
    -------
    gevent.pywsgi.OldMessage
        The fields, as the library's handler takes them.

    Raises
    ------
    HeadRejected
        As of `RequestHead.readline`.
    ConnectionError
        The connection has ended within the head.
    """
    lines = []
    while not lines or lines[-1] not in ENDS:
        lines.append(head.readline(max_line_bytes))
    return Parser(_class=OldMessage).parsestr(b"".join(lines).decode("latin-1"))
