#!/bin/sh
# Case 3, EXPOSURE: a bad version completed by a host that has just started.
# TROUBLE=0 does the same without the disruption. Writes record.txt beside this
# file. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
exec "$folder/../run-case.sh" 3 "$TROUBLE" "$folder/record.txt"
