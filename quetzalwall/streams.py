"""Replacement of standard streams that were closed when the process started.

This module is imported before any library, so it uses only the standard library.
"""

import os

__all__ = ["open_standard_streams"]

STDERR_FD = 2  # the highest descriptor of a standard stream


def open_standard_streams():
    """Open the null device in place of each closed standard stream.

    Otherwise the next sockets would get these descriptors, and log lines would be
    written to them.
    """
    try:
        fd = os.open(os.devnull, os.O_RDWR)
        while fd <= STDERR_FD:
            os.set_inheritable(fd, True)
            # Each call opens the lowest free descriptor.
            fd = os.open(os.devnull, os.O_RDWR)
        os.close(fd)
    except OSError:
        return  # no null device or no free descriptor; a later step reports it
