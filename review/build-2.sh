#!/bin/sh
# Builds the stand-ins of the cases 6 to 9: plain Python without libraries, so that
# only their syntax is checked. Nothing is written.
cd "$(dirname "$0")" || exit 1
exec python3 - common-2/*.py [6-9]/*.py <<'PROGRAM'
import sys

for path in sys.argv[1:]:
    if "*" not in path:
        with open(path, "rb") as file:
            compile(file.read(), path, "exec")
PROGRAM
