#!/usr/bin/env bash
# Builds the stand-ins of the scripts below this folder. They are Python programs without
# dependencies, so it only checks that Python is there and can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/*.py [0-9]/*.py <<'PYTHON'
import ast, pathlib, sys
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(), name)
PYTHON
