#!/usr/bin/env bash
# Builds the stand-ins of review/4 and later. They are Python with its standard library only, so this compiles them to
# find errors early; nothing is fetched or installed. The controllers come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed (tomllib)"
for path in [pathlib.Path("common-2/region.py"), *sorted(pathlib.Path(".").glob("[4-8]/case.py"))]:
    compile(ast.parse(path.read_text(), str(path)), str(path), "exec")
    print("ok", path)
PYTHON
