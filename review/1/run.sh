#!/usr/bin/env bash
# Exits with 1 if a rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
# 0: without the disruption.
export TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review
exec python3 review/1/odd_row.py
