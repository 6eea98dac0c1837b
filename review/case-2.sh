#!/usr/bin/env bash
# Runs a case: case-2.sh CLASS RECORD-FILE. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/carobstage.jar ] || [ ! -d target/review-2 ]; then
  echo "not built: run the build of the deploy file and review/build-2.sh" >&2
  exit 2
fi
export TMPDIR
TMPDIR=$(mktemp -d)
trap 'rm -rf "$TMPDIR"' EXIT
timeout 118 java -Xmx1g -Djava.io.tmpdir="$TMPDIR" -Droot="$PWD" \
  -cp target/review-2:target/carobstage.jar "org.carobstage.review2.$1" "$2"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
