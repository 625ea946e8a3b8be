"""Hide the keys of client accounts in what an operator reads."""

import hashlib
import json
import re

__all__ = ["KeyHider", "short_digest"]

SHORT_DIGEST_BYTES = 4


def short_digest(key):
    """Return the digest by which a key is named in output.

    Parameters
    ----------
    key : str
        The key.

    Returns
    -------
    str
        Eight hexadecimal digits.

    Examples
    --------
    >>> short_digest("example")
    '0da00195'
    """
    raw = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(raw, digest_size=SHORT_DIGEST_BYTES).hexdigest()


class KeyHider:
    """Replaces keys in texts and values by their digests.

    A key that an operator wrote into a wrong field, for example as the name of a route,
    would otherwise be shown.

    Parameters
    ----------
    keys : iterable of str
        The keys.
    """

    def __init__(self, keys):
        self._digests = {}
        for key in keys:
            # A message may quote a text as Python or as JSON.
            for form in (key, repr(key)[1:-1], json.dumps(key)[1:-1]):
                if form:
                    self._digests[form] = short_digest(key)
        forms = sorted(self._digests, key=len, reverse=True)
        self._pattern = re.compile("|".join(map(re.escape, forms))) if forms else None

    def hide(self, value):
        """Return decoded JSON with a digest in place of each key.

        Parameters
        ----------
        value : object
            Decoded JSON or a text.

        Returns
        -------
        object
        """
        if self._pattern is None:
            return value
        if isinstance(value, str):
            return self._pattern.sub(self._replacement, value)
        if isinstance(value, list | tuple):
            return [self.hide(item) for item in value]
        if isinstance(value, dict):
            return {self.hide(k): self.hide(v) for k, v in value.items()}
        if not isinstance(value, bool) and str(value) in self._digests:
            return self.hide(str(value))
        return value

    def _replacement(self, match):
        return f"key:{self._digests[match[0]]}"
