#!/bin/bash
# Builds what the scripts start beside the programs of the deploy file. The stand-ins (fleet.py, host.py and each case's
# check.py) are Python without packages, so that they are only compiled here, to a temporary folder, to show that they can be.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path(".").glob("**/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("fit to run:", path)
PYTHON
