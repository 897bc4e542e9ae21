#!/bin/sh
# Builds what the cases start besides the daemon. The stand-ins are Python (3.8 or later, standard library
# only): they are only checked here. The daemon itself is built with the command of the deploy file.
set -e
cd "$(dirname "$0")"
for file in common/cluster.py */case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file"
done
