"""Read the settings file of a running instance again."""

import os

from quetzalwall.exceptions import SettingsError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.settings import log_ignored, read_settings

__all__ = ["file_signature", "reread_settings"]

LOG = get_logger("front")


def reread_settings(file, previous):
    """Return the settings in a file; log what is malformed.

    Parameters
    ----------
    file : str
        Path of the file.
    previous : InstanceSettings
        Settings whose seeds and bounds replace malformed ones.

    Returns
    -------
    InstanceSettings or None
        None if a required field is malformed.
    """
    ignored = []
    try:
        settings = read_settings(file, ignored, previous)
    except SettingsError as exc:
        log_event(LOG, "settings-refused", "error", reason=exc.message)
        return None
    log_ignored(ignored)
    return settings


def file_signature(file):
    """Return what differs after a change of a file.

    Parameters
    ----------
    file : str
        Path of the file.

    Returns
    -------
    (int, int, int) or None
        Modification time, size and inode; None if it can't be read.
    """
    try:
        status = os.stat(file)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
