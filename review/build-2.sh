#!/bin/sh
# Builds the stand-ins that the cases 4, 5 and 6 start: they are Python sources, so building them is compiling them.
# Needs the environment of the deploy file's `build`, which has the controllers' packages, and no network.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/harness-2 review/[4-6]
