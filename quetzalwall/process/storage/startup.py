"""Find the configuration with which an instance starts."""

import gevent

from quetzalwall.connection.json_call import create_json_client
from quetzalwall.exceptions import PeerError, SettingsError, StoreError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.storage.config_keeper import (
    HOLDERS_NEEDED,
    import_configuration,
)
from quetzalwall.process.storage.snapshots import read_snapshot
from quetzalwall.version.settings_store import read_configuration

__all__ = ["find_configuration"]

PEER_TIMEOUT_S = 2.0
RETRY_S = 0.5
PATIENCE_S = 5.0  # for peers that don't answer while the table is down
LOG = get_logger("start")


def find_configuration(settings, table, objects, clock):
    """Return the configuration to start with, waiting for one if need be.

    Parameters
    ----------
    settings : dict
        The instance's own settings.
    table : TableClient
        The table service.
    objects : ObjectClient
        The object store.
    clock : Clock
        Source of time.

    Returns
    -------
    Configuration

    Notes
    -----
    The table knows the newest version. Without it, a version that was in force here
    before a restart is held by at least `HOLDERS_NEEDED` other instances, so that the
    newest of all peers but one is no older. Peers that stay silent are given up after
    a few seconds, since otherwise their death would keep this instance down.
    """
    began = clock.monotonic()
    while True:
        configuration = _from_table(table)
        if configuration is not None:
            return configuration
        found = _from_peers(settings.get("seeds", []))
        silent = len(settings.get("seeds", [])) - len(found)
        enough = silent < HOLDERS_NEEDED
        if enough or clock.monotonic() - began > PATIENCE_S:
            snapshot = read_snapshot(objects)
            if snapshot is not None:
                found.append(snapshot)
            if found:
                newest = max(found, key=lambda item: item.version)
                log_event(LOG, "without-table", version=newest.version, silent=silent)
                return newest
        log_event(LOG, "no-configuration", "warning", answers=len(found))
        gevent.sleep(RETRY_S)


def _from_table(table):
    try:
        configuration = read_configuration(table)
    except StoreError as exc:
        log_event(LOG, "no-table", "warning", reason=exc.message)
        return None
    return configuration if configuration.version else None


def _from_peers(seeds):
    tasks = [gevent.spawn(_from_peer, seed) for seed in seeds]
    gevent.joinall(tasks)
    return [task.value for task in tasks if task.value is not None]


def _from_peer(seed):
    host, port = seed.split(":")
    client = create_json_client(host, int(port), seed, timeout_s=PEER_TIMEOUT_S)
    try:
        answer = client.call("GET", "/peer/config")
        return import_configuration(answer.body or {}, seed)
    except (PeerError, SettingsError) as exc:
        log_event(LOG, "no-peer", "debug", peer=seed, reason=exc.message)
        return None
    finally:
        client.close()
