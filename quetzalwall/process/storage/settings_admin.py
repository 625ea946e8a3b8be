"""What operators ask an entry instance for: settings and their changes."""

import hashlib
import hmac

import gevent

from quetzalwall.exceptions import SettingsConflict, SettingsError, StoreUnavailable
from quetzalwall.logs import get_logger, log_event
from quetzalwall.version.settings_store import history, put_subtree
from quetzalwall.version.tree import merge_tree

__all__ = ["SettingsAdmin", "create_settings_admin"]

LOG = get_logger("operators")


class SettingsAdmin:
    """Commands of operators on one instance.

    Parameters
    ----------
    cluster_state : ClusterState
        Holds the tree in force.
    table : StoreTable
        Rows of the store.
    clock : Clock
        Source of time.
    """

    def __init__(self, cluster_state, table, clock):
        self._cluster_state = cluster_state
        self._table = table
        self._clock = clock

    def show(self):
        """Return the settings in force on this instance.

        Returns
        -------
        dict
            With ``version``, ``teams`` (versions) and ``tree``.
        """
        held = self._cluster_state.tree
        if held is None:
            return {"version": 0, "teams": {}, "tree": {}}
        return {
            "version": held.version,
            "teams": held.team_versions,
            "tree": _without_credentials(held.tree),
        }

    def put(self, body, credential):
        """Replace a team's subtree.

        Parameters
        ----------
        body : object
            With ``team``, ``subtree``, ``base`` and ``author``.
        credential : str
            The team's credential.

        Returns
        -------
        tuple of int and dict
            HTTP status and the answer.
        """
        problem = _body_problem(body)
        if problem:
            return 400, {"message": problem}
        team = body["team"]
        if not self._allowed(team, credential):
            log_event(LOG, "refused", "warning", team=team, reason="credential")
            return 403, {"message": f"credential is not that of team {team}"}
        try:
            version = put_subtree(
                self._table,
                team,
                self._keep_credentials(team, body["subtree"]),
                body["base"],
                body["author"],
                wall=self._clock.wall,
                pause=gevent.sleep,
            )
        except SettingsConflict as exc:
            return 409, _conflict_answer(exc)
        except SettingsError as exc:
            return 422, {
                "message": exc.message,
                "faults": [list(f) for f in exc.faults],
            }
        except StoreUnavailable as exc:
            return 503, {"message": exc.message, "accepted": "unknown"}
        log_event(LOG, "accepted", team=team, version=version, author=body["author"])
        return 200, {"version": version, "accepted": "yes"}

    def history(self):
        """Return the latest changes.

        Returns
        -------
        tuple of int and dict
            HTTP status and the answer.
        """
        try:
            return 200, {"changes": history(self._table)}
        except StoreUnavailable as exc:
            return 503, {"message": exc.message}

    def _allowed(self, team, credential):
        known = merge_tree(self._tree())["credentials"].get(team)
        if known is None:
            return False
        digest = hashlib.sha256(credential.encode()).hexdigest()
        return hmac.compare_digest(digest, known)

    def _tree(self):
        return self._cluster_state.tree.tree if self._cluster_state.tree else {}

    def _keep_credentials(self, team, subtree):
        """Return a subtree with its hidden credentials, which `show` leaves out."""
        old = self._tree().get(team, {})
        if "credentials" in subtree or "credentials" not in old:
            return subtree
        return {**subtree, "credentials": old["credentials"]}


def _without_credentials(tree):
    return {
        team: {name: value for name, value in subtree.items() if name != "credentials"}
        for team, subtree in tree.items()
    }


def _conflict_answer(exc):
    return {
        "message": exc.message,
        "base": exc.base,
        "current": exc.current,
        "subtree": _without_credentials({"": exc.subtree})[""],
    }


def _body_problem(body):
    if not isinstance(body, dict):
        return "body must be an object"
    kinds = {"team": str, "subtree": dict, "base": int, "author": str}
    for name, kind in kinds.items():
        if not isinstance(body.get(name), kind):
            return f"{name} must be given as {kind.__name__}"
    return None


def create_settings_admin(cluster_state, table, clock):
    """Return the commands of an instance.

    Parameters
    ----------
    cluster_state, table, clock
        As of `SettingsAdmin`.

    Returns
    -------
    SettingsAdmin
    """
    return SettingsAdmin(cluster_state, table, clock)
