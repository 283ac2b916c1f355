#!/bin/sh
# Builds the stand-ins of all cases into bin/review-rig. The sources are test files behind a
# build tag, so neither the default build nor the default test run sees them.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
exec go test -c -tags review -o bin/review-rig ./review/rig
