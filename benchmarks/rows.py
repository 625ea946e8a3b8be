"""Rows of the measurement tables, their JSON files and the page of all tables."""

import json
import statistics
from pathlib import Path
from typing import TypedDict

__all__ = ["Row", "make_row", "quantile", "write_case", "write_page"]

RESULTS_DIR = Path(__file__).resolve().parent.parent / "docs" / "measurements"


class Row(TypedDict):
    """One measure over all runs.

    Attributes
    ----------
    measure, deployment, policy : str
        What was measured, on which deployment and with which policy.
    seeds : int
        Number of runs.
    median, min, max : float
        Of the runs' values.
    unit : str
        Unit of the values.
    bound : str
        For example ``"<= 1.5"``; empty if there is none.
    holds : bool or None
        Whether the median, or each run, is within the bound; None if there is none.
    """

    measure: str
    deployment: str
    policy: str
    seeds: int
    median: float
    min: float
    max: float
    unit: str
    bound: str
    holds: bool | None


def make_row(measure, deployment, policy, values, unit, bound="", each_run=False):
    """Return one row.

    Parameters
    ----------
    measure, deployment, policy : str
        Labels of the row.
    values : sequence of float
        One value per run.
    unit : str
        Unit of the values.
    bound : str, default=""
        ``"<= X"`` or ``">= X"``, from the project's targets.
    each_run : bool, default=False
        Whether each run has to be within the bound, not only the median.

    Returns
    -------
    Row

    Examples
    --------
    >>> make_row("p99", "x", "ours", [1.0, 2.0, 4.0], "s", "<= 1.5")["holds"]
    False
    """
    compared = list(values) if each_run else [statistics.median(values)]
    return Row(
        measure=measure,
        deployment=deployment,
        policy=policy,
        seeds=len(values),
        median=_round(statistics.median(values)),
        min=_round(min(values)),
        max=_round(max(values)),
        unit=unit,
        bound=bound,
        holds=all(_is_within(value, bound) for value in compared) if bound else None,
    )


def quantile(values, fraction):
    """Return a quantile of a sample.

    Parameters
    ----------
    values : sequence of float
        Not empty.
    fraction : float
        Between 0 and 1.

    Returns
    -------
    float
        The smallest value with more than that fraction of the sample at or below it,
        or the largest value if there is none.
    """
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(fraction * len(ordered)))
    return ordered[index]


def write_case(name, title, conclusion, rows):
    """Store the rows of a case.

    Parameters
    ----------
    name : str
        Name of the case and of its JSON file.
    title, conclusion : str
        Heading and text of the case on the page.
    rows : list of Row
        Results of the case.
    """
    RESULTS_DIR.mkdir(parents=True, exist_ok=True)
    document = {"title": title, "conclusion": conclusion, "rows": rows}
    text = json.dumps(document, indent=1)
    (RESULTS_DIR / f"{name}.json").write_text(text + "\n")


def write_page(commit):
    """Write the page with the tables of all cases.

    Parameters
    ----------
    commit : str
        Commit that was measured.
    """
    lines = [
        "# Measurements",
        "",
        "Made by `make measure`, or `make measure CASE=name`; each case also stands in",
        "a JSON file here. Bounds are the stated targets. A row that does not hold",
        f"stays in its table. Last case measured at commit {commit}, with the changes",
        "committed together with this page.",
    ]
    for file in sorted(RESULTS_DIR.glob("*.json")):
        lines += _case_lines(file)
    (RESULTS_DIR / "README.md").write_text("\n".join(lines) + "\n")


def _case_lines(file):
    document = json.loads(file.read_text())
    lines = ["", f"## {file.stem}: {document['title']}", "", document["conclusion"], ""]
    lines.append(
        "| measure | deployment | policy | median | min..max | bound | holds |"
    )
    lines.append("|---|---|---|---|---|---|---|")
    for row in document["rows"]:
        verdict = {True: "yes", False: "**no**", None: ""}[row["holds"]]
        value = f"{row['median']:g} {row['unit']}".strip()
        spread = f"{row['min']:g}..{row['max']:g} ({row['seeds']})"
        lines.append(
            f"| {row['measure']} | {row['deployment']} | {row['policy']} | {value} "
            f"| {spread} | {row['bound']} | {verdict} |"
        )
    return lines


def _is_within(value, bound):
    comparison, limit = bound.split()
    limit = float(limit.rstrip("%"))
    return value <= limit if comparison == "<=" else value >= limit


def _round(value):
    return float(f"{value:.4g}")
