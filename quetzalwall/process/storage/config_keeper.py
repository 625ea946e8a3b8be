"""The configuration held and in force on this instance.

A version is first held, then in force: it is put in force once some other instances
hold it too, so that this instance, restarted while the store is down, finds at least
the same version with them and never goes back.
"""

from quetzalwall.exceptions import SettingsError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.version.check import require_valid_tree
from quetzalwall.version.tree import create_configuration, tree_digest

__all__ = ["HOLDERS_NEEDED", "ConfigKeeper", "create_config_keeper"]

HOLDERS_NEEDED = 2  # other instances that hold a version before it is in force
LOG = get_logger("config")


class ConfigKeeper:
    """Versions of the configuration on one instance.

    Parameters
    ----------
    on_force : callable
        Called with each `Configuration` when it comes into force.

    Attributes
    ----------
    held : Configuration or None
        Newest version known.
    in_force : Configuration or None
        Version that decisions follow.
    """

    def __init__(self, on_force):
        self._on_force = on_force
        self.held = None
        self.in_force = None

    def held_version(self):
        """Return the newest version known; 0 if none.

        Returns
        -------
        int
        """
        return self.held.version if self.held else 0

    def in_force_version(self):
        """Return the version that decisions follow; 0 if none.

        Returns
        -------
        int
        """
        return self.in_force.version if self.in_force else 0

    def hold(self, configuration, source):
        """Keep a version if it is newer than any before.

        Parameters
        ----------
        configuration : Configuration
            From the store or from a peer.
        source : str
            Where it came from, for the log.

        Returns
        -------
        bool
            Whether it was newer.
        """
        if configuration.version <= self.held_version():
            return False
        try:
            require_valid_tree(configuration.tree, file=source)
        except SettingsError as exc:
            log_event(
                LOG,
                "refused",
                level="error",
                version=configuration.version,
                source=source,
                reason=exc.message,
            )
            return False
        self.held = configuration
        log_event(LOG, "held", version=configuration.version, source=source)
        return True

    def advance(self, peer_versions, peers_live):
        """Put the held version in force if enough other instances hold it.

        Parameters
        ----------
        peer_versions : iterable of int
            Versions that the other live instances hold, as far as known.
        peers_live : int
            Number of other live instances.

        Returns
        -------
        bool
            Whether another version is now in force.
        """
        if self.held_version() <= self.in_force_version():
            return False
        holders = sum(1 for v in peer_versions if v >= self.held.version)
        if holders < min(HOLDERS_NEEDED, peers_live):
            return False
        self.in_force = self.held
        log_event(LOG, "in-force", version=self.held.version, holders=holders)
        self._on_force(self.in_force)
        return True

    def export(self, known=None):
        """Return the held version as a message for a peer.

        Parameters
        ----------
        known : dict of str to int, default=None
            Team to version of the subtree that the peer has; those are left out.

        Returns
        -------
        dict or None
        """
        if self.held is None:
            return None
        return export_configuration(self.held, known)

    def team_versions(self):
        """Return the versions of the subtrees held.

        Returns
        -------
        dict of str to int
        """
        return self.held.team_versions if self.held else {}


def export_configuration(configuration, known=None):
    """Return a configuration, or what changed in it, as a message.

    Parameters
    ----------
    configuration : Configuration
        The configuration.
    known : dict of str to int, default=None
        Team to version of a subtree that the receiver has.

    Returns
    -------
    dict
        With the digest of the whole tree, also when subtrees are left out.
    """
    known = known or {}
    return {
        "version": configuration.version,
        "teams": configuration.team_versions,
        "tree": {
            team: subtree
            for team, subtree in configuration.tree.items()
            if known.get(team) != configuration.team_versions[team]
        },
        "digest": configuration.digest,
    }


def import_configuration(message, source, base=None):
    """Return the configuration in a message.

    Parameters
    ----------
    message : dict
        From `export_configuration`.
    source : str
        Where it came from, for the error.
    base : Configuration, default=None
        Holds the subtrees that the message leaves out.

    Returns
    -------
    Configuration

    Raises
    ------
    SettingsError
        The message is damaged, or does not fit the base.
    """
    try:
        held = base.tree if base else {}
        changed = message["tree"]
        tree = {t: changed[t] if t in changed else held[t] for t in message["teams"]}
        if tree_digest(tree) != message["digest"]:
            raise SettingsError("digest does not match", step="import", peer=source)
        return create_configuration(int(message["version"]), message["teams"], tree)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        reason = f"malformed: {exc!r}"
        raise SettingsError(reason, step="import", peer=source) from exc


def create_config_keeper(on_force):
    """Return a keeper that holds nothing yet.

    Parameters
    ----------
    on_force : callable
        Called with each `Configuration` when it comes into force.

    Returns
    -------
    ConfigKeeper
    """
    return ConfigKeeper(on_force)
