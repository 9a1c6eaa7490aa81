#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start beside the deploy file's
# build: stand-ins in Python of this folder, which only need to compile.
set -eu
cd "$(dirname "$0")"
python3 - rig3.py runner3.py 1[1-5]/case.py <<'END'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(), name, "exec")
END
