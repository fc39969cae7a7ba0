#!/bin/sh
# Builds the stand-ins. They are Python files that use the standard library only, so this only compiles them.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
