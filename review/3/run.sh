#!/bin/sh
# Exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
PYTHONPATH="$here/.." PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/play.py"
