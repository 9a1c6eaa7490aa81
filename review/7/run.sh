#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=$PWD/review/6 exec python3 review/7/case.py
