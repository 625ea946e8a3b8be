"""Run measurement cases and write their result tables.

``python -m benchmarks.measure`` runs all cases; with names, it runs only those.
"""

import importlib
import pkgutil
import subprocess
import sys
import time

from benchmarks import cases
from benchmarks.rows import write_case, write_page

__all__ = ["main"]


def main(names):
    """Run cases.

    Parameters
    ----------
    names : sequence of str
        Cases to run; all if empty.

    Returns
    -------
    int
        Exit status: 0 if all ran, even if a bound does not hold; 2 if there is no case
        of that name.
    """
    available = sorted(module.name for module in pkgutil.iter_modules(cases.__path__))
    for name in names:
        if name not in available:
            print(
                f"no such case: {name}; known: {', '.join(available)}", file=sys.stderr
            )
            return 2
    for name in names or available:
        started_at = time.monotonic()
        case = importlib.import_module(f"benchmarks.cases.{name}")
        rows = case.run()
        write_case(name, case.TITLE, case.CONCLUSION, rows)
        print(f"{name}: {time.monotonic() - started_at:.0f} s")
        for row in rows:
            verdict = {True: "holds", False: "DOES NOT HOLD", None: ""}[row["holds"]]
            print(
                f"  {row['measure']}; {row['deployment']}; {row['policy']}: "
                f"{row['median']:g} {row['unit']} ({row['min']:g}..{row['max']:g}) "
                f"{row['bound']} {verdict}"
            )
    write_page(_current_commit())
    return 0


def _current_commit():
    command = ["git", "rev-parse", "--short", "HEAD"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "unknown"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
