#!/usr/bin/env bash
# Checks the stand-ins and cases, which are Python without further packages and so need no build.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - common/*.py [1-5]/*.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
test -x ../target/bin/limpet-entry || { echo "build the project first: deploy/system.toml"; exit 1; }
