"""Registration of an instance in the store, by which the other instances find it."""

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
    """Write the row of this instance, then read those of the others, with retries.

    Writing first ensures that of two instances that start at the same time at least one
    finds the other.

    Parameters
    ----------
    store : StoreClient
        The store.
    fleet : Fleet
        Has the identity of this instance; gets the other instances.
    """
    info = msgspec.json.encode(fleet.own_info)
    while True:
        try:
            store.put(INSTANCES_TABLE, fleet.own_info.name, info)
            for row in store.read(INSTANCES_TABLE).rows:
                _add_instance(fleet, row)
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
        Has the identity of this instance.
    """
    try:
        store.put(INSTANCES_TABLE, fleet.own_info.name, None)
    except StoreError as exc:
        log_event(LOG, "not-unregistered", "warning", reason=exc.message)


def _add_instance(fleet, row):
    try:
        fleet.add_registered(msgspec.json.decode(row.value, type=PeerInfo))
    except (msgspec.DecodeError, RecursionError) as exc:
        log_event(LOG, "bad-instance", "warning", row=row.key, reason=str(exc))
