#!/bin/sh
# Builds what the scripts of the cases start: the stand-ins are Python without dependencies.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
