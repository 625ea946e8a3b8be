#!/usr/bin/env bash
# The stand-ins need nothing but Python's own library: this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for file in sorted(Path().rglob("*.py")):
    ast.parse(file.read_text(), str(file))
PY
