#!/bin/sh
# Builds the stand-ins of the second review's cases, after the deploy file's `build`: compiles the Python files that the
# cases run, so that a mistake shows here. Nothing is installed or downloaded.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the deploy file's build first" >&2; exit 2; }
for file in review/kit-2/*.py review/[6-9]/case.py review/10/case.py; do
    test -e "$file" || continue
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
