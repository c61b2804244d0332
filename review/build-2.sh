#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start besides the deploy file's programs. Their stand-ins (review/standins-2 and the project's
# scripts/platform_standin.py) are Python and need no build: this checks only that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'PY'
import ast
for path in ["review/standins-2/small.py", "scripts/platform_standin.py"]:
    with open(path) as f:
        ast.parse(f.read(), path)
PY
