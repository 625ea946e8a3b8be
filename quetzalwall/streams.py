"""Standard streams of a process that was started with some of them closed.

This module is imported before any library.
"""

import os

__all__ = ["open_standard_streams"]

HIGHEST = 2  # descriptor of standard error


def open_standard_streams():
    """Open what discards everything in the place of each closed standard stream.

    The next sockets would take these places otherwise, and be sent lines of the log.
    """
    try:
        number = os.open(os.devnull, os.O_RDWR)
        while number <= HIGHEST:
            os.set_inheritable(number, True)
            # The lowest descriptor that is free is taken each time.
            number = os.open(os.devnull, os.O_RDWR)
        os.close(number)
    except OSError:
        return  # neither a device nor a descriptor is left; others will say so
