#!/usr/bin/env bash
# Checks what the scripts of review/4 to review/8 need. Their stand-ins are Python, of the standard library only, and need no
# build; the hosts that they start are built by the deploy file's command.
cd "$(dirname "$0")/.." || exit 2
python3 -B - <<'PY' || exit 1
import ast, pathlib, sys
sys.version_info >= (3, 9) or sys.exit("Python 3.9 or later is needed")
for path in pathlib.Path("review").glob("**/*.py"):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
test -x target/release/radishstair-platform || { echo "build the deploy file first"; exit 1; }
