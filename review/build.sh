#!/usr/bin/env bash
# Builds what the scripts of the review start besides the deploy file's
# programs: stand-ins in Python's standard library, which need no packages.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q common
