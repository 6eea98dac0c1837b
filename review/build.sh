#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases; the build of the deploy file has to be done first.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -s target/carobstage.jar ] || bin/build
mkdir -p target/review
javac -nowarn -d target/review -cp target/carobstage.jar review/standin/org/carobstage/review/*.java
