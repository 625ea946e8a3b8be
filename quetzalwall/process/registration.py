"""The row by which an instance makes itself known to the others."""

import gevent
import msgspec

from quetzalwall.exceptions import StoreError
from quetzalwall.logs import describe_failure, get_logger, log_event
from quetzalwall.platform.rows import INSTANCES_TABLE
from quetzalwall.process.cluster.peer_report import PeerInfo

__all__ = ["register", "unregister"]

RETRY_S = 1.0
LOG = get_logger("front")


def register(store, fleet):
    """Write the row of this instance, then learn of the others; try until it is done.

    In this order, of two instances that start at once one sees the other.

    Parameters
    ----------
    store : StoreClient
        The store.
    fleet : Fleet
        The other instances, and who this one is.
    """
    info = msgspec.json.encode(fleet.own_info)
    while True:
        try:
            store.put(INSTANCES_TABLE, fleet.own_info.name, info)
            for row in store.read(INSTANCES_TABLE).rows:
                _introduce(fleet, row)
            return
        except StoreError as exc:
            log_event(LOG, "not-registered", "warning", reason=exc.message)
        except Exception as exc:
            log_event(LOG, "not-registered", "error", **describe_failure(exc))
        gevent.sleep(RETRY_S)


def unregister(store, fleet):
    """Remove the row of this instance.

    Parameters
    ----------
    store : StoreClient
        The store.
    fleet : Fleet
        Tells who this instance is.
    """
    try:
        store.put(INSTANCES_TABLE, fleet.own_info.name, None)
    except StoreError as exc:
        log_event(LOG, "not-unregistered", "warning", reason=exc.message)


def _introduce(fleet, row):
    try:
        fleet.add_registered(msgspec.json.decode(row.value, type=PeerInfo))
    except (msgspec.DecodeError, RecursionError) as exc:
        log_event(LOG, "bad-instance", "warning", row=row.key, reason=str(exc))
