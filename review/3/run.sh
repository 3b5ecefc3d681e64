#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || { echo "no .venv: run the build of the deploy file"; exit 2; }
exec .venv/bin/python review/3/case.py
