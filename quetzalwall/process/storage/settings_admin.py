"""Operators' requests to show, change and list changes of the settings tree."""

import hashlib
import hmac

import gevent

from quetzalwall.exceptions import SettingsConflict, SettingsError, StoreUnavailable
from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.storage.tree_restore import (
    restore_tree,
    restore_tree_until_done,
)
from quetzalwall.version.settings_store import history, put_subtree
from quetzalwall.version.tree import merge_tree

__all__ = ["SettingsAdmin", "create_settings_admin"]

LOG = get_logger("operators")


class SettingsAdmin:
    """Settings administration on one instance, for operators.

    Parameters
    ----------
    cluster_state : ClusterState
        Has the active settings tree.
    table : StoreTable
        Rows of the store, to which changes are written.
    clock : Clock
        Source of time.
    """

    def __init__(self, cluster_state, table, clock):
        self._cluster_state = cluster_state
        self._table = table
        self._clock = clock

    def show(self):
        """Return the settings that are active on this instance, without credentials.

        Returns
        -------
        dict
            With ``version``, ``teams`` (team to version of its subtree) and ``tree``.
        """
        active = self._cluster_state.tree
        if active is None:
            return {"version": 0, "teams": {}, "tree": {}}
        return {
            "version": active.version,
            "teams": active.team_versions,
            "tree": _without_credentials(active.tree),
        }

    def put(self, body, credential):
        """Replace a team's subtree.

        Parameters
        ----------
        body : object
            Decoded JSON of the request. It has to be an object with ``team``,
            ``subtree``, ``base`` (version that the change was made from) and
            ``author``.
        credential : str
            The team's credential.

        Returns
        -------
        tuple of int and dict
            HTTP status and response body.
        """
        error = _body_error(body)
        if error:
            return 400, {"message": error}
        team = body["team"]
        if not self._is_authorized(team, credential):
            log_event(LOG, "refused", "warning", team=team, reason="credential")
            return 403, {"message": f"credential is not that of team {team}"}
        try:
            # The change must not be based on a tree that a restored store shows.
            if self._cluster_state.tree is not None:
                restore_tree(self._table, self._cluster_state.tree)
            version = put_subtree(
                self._table,
                team,
                self._with_credentials(team, body["subtree"]),
                body["base"],
                body["author"],
                wall=self._clock.wall,
                sleep=gevent.sleep,
            )
        except SettingsConflict as exc:
            return 409, _conflict_body(exc)
        except SettingsError as exc:
            return 422, {
                "message": exc.message,
                "faults": [list(fault) for fault in exc.faults],
            }
        except StoreUnavailable as exc:
            return 503, {"message": exc.message, "accepted": "unknown"}
        log_event(LOG, "accepted", team=team, version=version, author=body["author"])
        return 200, {"version": version, "accepted": "yes"}

    def restore(self):
        """Write the active settings again if a restored store shows older ones."""
        restore_tree_until_done(self._table, self._cluster_state)

    def history(self):
        """Return the latest changes of the settings.

        Returns
        -------
        tuple of int and dict
            HTTP status and response body.
        """
        try:
            return 200, {"changes": history(self._table)}
        except StoreUnavailable as exc:
            return 503, {"message": exc.message}

    def _is_authorized(self, team, credential):
        expected_digest = merge_tree(self._tree())["credentials"].get(team)
        if expected_digest is None:
            return False
        digest = hashlib.sha256(credential.encode()).hexdigest()
        return hmac.compare_digest(digest, expected_digest)

    def _tree(self):
        return self._cluster_state.tree.tree if self._cluster_state.tree else {}

    def _with_credentials(self, team, subtree):
        """Return a subtree with the current credentials if it has none of its own.

        Operators edit what `show` returned, from which credentials are left out.
        """
        current = self._tree().get(team, {})
        if "credentials" in subtree or "credentials" not in current:
            return subtree
        return {**subtree, "credentials": current["credentials"]}


def _without_credentials(tree):
    return {
        team: {name: value for name, value in subtree.items() if name != "credentials"}
        for team, subtree in tree.items()
    }


def _conflict_body(exc):
    return {
        "message": exc.message,
        "base": exc.base,
        "current": exc.current,
        "subtree": _without_credentials({"": exc.subtree})[""],
    }


def _body_error(body):
    """Return what is wrong with the body of a request, or None."""
    if not isinstance(body, dict):
        return "body must be an object"
    field_types = {"team": str, "subtree": dict, "base": int, "author": str}
    for field, field_type in field_types.items():
        if not isinstance(body.get(field), field_type):
            return f"{field} must be given as {field_type.__name__}"
    return None


def create_settings_admin(cluster_state, table, clock):
    """Return the settings administration of one instance.

    Parameters
    ----------
    cluster_state, table, clock
        As of `SettingsAdmin`.

    Returns
    -------
    SettingsAdmin
    """
    return SettingsAdmin(cluster_state, table, clock)
