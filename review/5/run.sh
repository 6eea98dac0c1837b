#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -euo pipefail
case_dir=$(cd "$(dirname "$0")" && pwd)
record=$case_dir/record.txt
. "$case_dir/../lib.sh"
start_platform 60
start_front front-1
client CutAtStop "$port" "$record" "$TROUBLE" "$front" 3600 1950
