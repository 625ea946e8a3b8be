"""Snapshots of the configuration in the object store, two in turn.

A start with the table down costs one or two object reads. A damaged snapshot is
refused, and the other one, which is older by one version, is used.
"""

from quetzalwall.exceptions import SettingsError, StoreError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.storage.config_keeper import (
    export_configuration,
    import_configuration,
)

__all__ = ["read_snapshot", "write_snapshot"]

SNAPSHOTS = 2
LOG = get_logger("snapshot")


def write_snapshot(objects, configuration):
    """Store a configuration in place of the older of the two snapshots.

    Parameters
    ----------
    objects : ObjectClient
        The object store.
    configuration : Configuration
        The version in force.
    """
    name = _object_name(configuration.version % SNAPSHOTS)
    objects.put(name, export_configuration(configuration))


def read_snapshot(objects):
    """Return the newest undamaged snapshot.

    Parameters
    ----------
    objects : ObjectClient
        The object store.

    Returns
    -------
    Configuration or None
        None if there is none, or the object store is down.
    """
    found = []
    for place in range(SNAPSHOTS):
        name = _object_name(place)
        try:
            document = objects.get(name)
            if document is not None:
                found.append(import_configuration(document, name))
        except (StoreError, SettingsError) as exc:
            log_event(LOG, "refused", "warning", object=name, reason=exc.message)
    return max(found, key=lambda configuration: configuration.version, default=None)


def _object_name(place):
    return f"snapshot-config-{place}"
