#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -cp target/carobstage.jar -d target/review-2 \
  $(find review/standin-2 -name '*.java')
