"""Numbers in headers and queries."""

__all__ = ["is_decimal"]


def is_decimal(text):
    """Return whether a text consists of the digits 0 to 9 only.

    ``str.isdigit`` also accepts characters such as a superscript two, which `int`
    refuses.

    Parameters
    ----------
    text : str
        The text.

    Returns
    -------
    bool

    Examples
    --------
    >>> is_decimal("12"), is_decimal("\u00b2"), is_decimal("")
    (True, False, False)
    """
    return text.isascii() and text.isdigit()
