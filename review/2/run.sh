#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. What was sent, answered and run is in record.txt
# in this folder, written anew by each run.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
: > "$here/record.txt" || exit 2
exec sh "$here/../common/run.sh" "$here"
