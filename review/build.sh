#!/usr/bin/env bash
# The stand-ins of the cases are Python programs of the standard library only:
# there is nothing to build. Checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
