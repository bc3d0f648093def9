#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 115 .venv/bin/python review/1/check.py
case $? in
0) exit 0 ;;
10) exit 1 ;; # a status that Python itself never has
*) exit 2 ;;
esac
