#!/usr/bin/env bash
# Builds what the scripts of this review start beside the project's programs. The stand-ins are Python programs of the standard library: they are
# only compiled to see that all of them are there.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c '
import glob, sys
for name in sorted(glob.glob("standins/*.py") + glob.glob("[0-9]/*.py") + ["../scripts/platform_standin.py"]):
    compile(open(name).read(), name, "exec")
    print("checked", name)
'
