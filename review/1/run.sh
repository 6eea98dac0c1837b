#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -euo pipefail
case_dir=$(cd "$(dirname "$0")" && pwd)
record=$case_dir/record.txt
. "$case_dir/../lib.sh"
platform_class=LossPlatform
if [ "$TROUBLE" = 0 ]; then start_platform 14 0 80; else start_platform 14 4 80; fi
ports=()
for name in front-1 front-2 front-3; do
  start_front "$name"
  ports+=("$port")
done
client Writers "$record" 40 "${ports[@]}"
