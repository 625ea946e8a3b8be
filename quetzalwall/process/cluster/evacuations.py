"""Evacuated failure domains, also after the store was restored from an older copy."""

__all__ = ["EVACUATION_HOLD_S", "Evacuations"]

# After a restore, until the operators must have written lost or withdrawn evacuations
# again; a copy is some seconds old.
EVACUATION_HOLD_S = 10.0


class Evacuations:
    """Decides which failure domains are evacuated.

    A restored store may lack an evacuation that is in force, or show one that was
    withdrawn. What was in force before stays so, for each domain, until its row changes
    in the new era or `release` is called.
    """

    def __init__(self):
        self._in_force = set()
        self._held = {}
        self._held_version = 0

    def hold(self, domains, withdrawn, version):
        """Keep what is in force, although the restored rows differ.

        A domain that was never known to be evacuated is evacuated at once: its row was
        written after the restore.

        Parameters
        ----------
        domains : set of str
            The domains that are evacuated by the restored rows.
        withdrawn : set of str
            The domains whose rows were removed before the restore.
        version : int
            Version of the store up to which these rows are known.
        """
        self._held = {domain: True for domain in self._in_force - domains}
        brought_back = (domains & withdrawn) - self._in_force
        self._held |= dict.fromkeys(brought_back, False)
        self._held_version = version

    def is_holding(self):
        """Return whether what is in force differs from the rows.

        Returns
        -------
        bool
        """
        return bool(self._held)

    def release(self):
        """Follow the rows again."""
        self._held = {}

    def update(self, domains, changes):
        """Return the domains that are evacuated.

        Parameters
        ----------
        domains : set of str
            The domains that are evacuated by the rows.
        changes : dict of str to int
            Version of the change of each row that has changed, by domain.

        Returns
        -------
        set of str
        """
        for domain, version in changes.items():
            if version > self._held_version:
                self._held.pop(domain, None)
        kept = {domain for domain, evacuated in self._held.items() if evacuated}
        self._in_force = (domains - self._held.keys()) | kept
        return self._in_force
