#!/bin/sh
# Build every stand-in that the scripts of the cases start. They are Python with the standard library only, and
# run with the interpreter that the deploy file's `build` has put into .venv.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review
PYTHONPATH=review .venv/bin/python -c "import stand_ins"
