#!/bin/sh
exec sh "$(dirname "$0")/../common/run.sh" "$(cd "$(dirname "$0")" && pwd)"
