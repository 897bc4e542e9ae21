#!/bin/sh
# Runs the case of the folder $1. 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$1" || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || exit 2
exec env PYTHONDONTWRITEBYTECODE=1 python3 case.py
