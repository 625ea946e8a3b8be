"""Run one function for every deployment, variant and seed, on several cores."""

from multiprocessing import get_context
from typing import NamedTuple

from benchmarks.deployments import DEPLOYMENTS
from benchmarks.rows import make_row

__all__ = [
    "BASELINES",
    "OURS",
    "SEEDS",
    "Cell",
    "Measure",
    "Variant",
    "grid_rows",
    "run_grid",
]

SEEDS = (1, 2, 3, 4, 5)
WORKERS = 7


class Variant(NamedTuple):
    """A way to decide.

    Attributes
    ----------
    label : str
        Name in the tables.
    options : dict
        Parameters of the driver.
    """

    label: str
    options: dict


class Cell(NamedTuple):
    """One run."""

    deployment: str
    variant: Variant
    seed: int


class Measure(NamedTuple):
    """A figure of a case.

    Attributes
    ----------
    name, unit : str
        For the table.
    bound : str
        Stated target for our own way; empty if there is none.
    """

    name: str
    unit: str
    bound: str


OURS = Variant("ours", {"sharing": "lending"})
BASELINES = (
    Variant("random", {"sharing": "none", "policy": "random_choice"}),
    Variant("round robin", {"sharing": "none", "policy": "round_robin"}),
    Variant("least outstanding", {"sharing": "none", "policy": "least_outstanding"}),
    Variant("power of two", {"sharing": "none", "policy": "power_of_two"}),
)


def run_grid(function, variants, deployments=tuple(DEPLOYMENTS), seeds=SEEDS):
    """Return the results of all runs.

    Parameters
    ----------
    function : callable
        Takes a `Cell` and returns a dict of measure to value; at module level.
    variants : sequence of Variant
        The ways.
    deployments : sequence of str
        The deployments.
    seeds : sequence of int
        The seeds.

    Returns
    -------
    dict of (str, str) to dict of str to list of float
        Deployment and label to measure to values, in the order of the seeds.
    """
    cells = [Cell(d, v, s) for d in deployments for v in variants for s in seeds]
    with get_context("spawn").Pool(WORKERS) as pool:
        results = pool.map(function, cells, chunksize=1)
    found = {}
    for cell, values in zip(cells, results, strict=True):
        group = found.setdefault((cell.deployment, cell.variant.label), {})
        for measure, value in values.items():
            group.setdefault(measure, []).append(value)
    return found


def grid_rows(found, measures):
    """Return the rows of a case.

    Parameters
    ----------
    found : dict
        From `run_grid`.
    measures : sequence of Measure
        Which figures, in order; bounds are applied to our own way only.

    Returns
    -------
    list of Row
    """
    return [
        make_row(
            measure.name,
            deployment,
            label,
            values[measure.name],
            measure.unit,
            measure.bound if label == OURS.label else "",
        )
        for (deployment, label), values in found.items()
        for measure in measures
    ]
