#!/bin/sh
# Builds the stand-ins of the second review, after `build` of the deploy file. They are Python programs that use
# the standard library alone: building them means compiling them, so that a fault shows before a case runs.
cd "$(dirname "$0")/.." || exit 1
for folder in review/standins_2 review/6 review/7 review/8 review/9 review/10; do
    test -d "$folder" || continue
    .venv/bin/python -m compileall -q "$folder" || exit 1
done
