"""The two deployments of today, as measured."""

import json
from pathlib import Path
from typing import NamedTuple

from quetzalwall.version.tree import merge_tree

__all__ = ["DEPLOYMENTS", "DeploymentFacts", "load_cfg"]

ROOT = Path(__file__).resolve().parent.parent
SERVICE_S = 0.04  # mean time of a short request at an endpoint


class DeploymentFacts(NamedTuple):
    """What the cases need to know of a deployment.

    Attributes
    ----------
    name : str
        Folder of the settings.
    short, long : str
        Service of status look-ups and bookings, and service of photos.
    slots : int
        Slots of the short service over all endpoints.
    long_slots : int
        Slots of the long service that long work may hold.
    region : str
        First region.
    """

    name: str
    short: str
    long: str
    slots: int
    long_slots: int
    region: str

    def per_s(self, part):
        """Return the rate that offers a part of the short service's capacity.

        Parameters
        ----------
        part : float
            Part of the capacity.

        Returns
        -------
        float
            Requests a second.
        """
        return part * self.slots / SERVICE_S


DEPLOYMENTS = {
    "merrimack": DeploymentFacts("merrimack", "booking", "photos", 120, 42, "lowell"),
    "whetstone": DeploymentFacts(
        "whetstone", "order-desk", "workshop-records", 60, 12, "north"
    ),
}


def load_cfg(name):
    """Return the merged configuration of a deployment.

    Parameters
    ----------
    name : str
        Folder of the settings.

    Returns
    -------
    dict
    """
    return merge_tree(json.loads((ROOT / "examples" / name / "tree.json").read_text()))
