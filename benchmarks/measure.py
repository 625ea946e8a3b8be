"""Run measurement cases and write their tables.

``python -m benchmarks.measure`` runs all cases; a name runs one.
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
        Exit status: 0 if all ran, also where a bound does not hold; 2 for a name
        that is not a case.
    """
    known = sorted(module.name for module in pkgutil.iter_modules(cases.__path__))
    for name in names:
        if name not in known:
            print(f"no such case: {name}; known: {', '.join(known)}", file=sys.stderr)
            return 2
    for name in names or known:
        began = time.monotonic()
        case = importlib.import_module(f"benchmarks.cases.{name}")
        rows = case.run()
        write_case(name, case.TITLE, case.CONCLUSION, rows)
        print(f"{name}: {time.monotonic() - began:.0f} s")
        for row in rows:
            holds = {True: "holds", False: "DOES NOT HOLD", None: ""}[row["holds"]]
            print(
                f"  {row['measure']}; {row['deployment']}; {row['policy']}: "
                f"{row['median']:g} {row['unit']} ({row['min']:g}..{row['max']:g}) "
                f"{row['bound']} {holds}"
            )
    write_page(_commit())
    return 0


def _commit():
    command = ["git", "rev-parse", "--short", "HEAD"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
