#!/usr/bin/env bash
# Checks that the stand-ins of cases 6 to 10 can run. They are Python programs, so there is nothing
# to compile; they need Python 3.11 or later, as on Debian 12, and no package.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - common-2/*.py [6-9]/*.py 10/*.py <<'PYTHON'
import sys
import tomllib  # noqa: F401

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PYTHON
