#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need Python 3.11 and its
# standard library alone, so that all there is to do is to compile them.
cd "$(dirname "$0")/.." || exit 2
for number in 6 7 8 9 10; do
  [ ! -d "review/$number" ] || python3 -m compileall -q "review/$number" || exit 1
done
python3 -m compileall -q review/rig
