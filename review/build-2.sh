#!/bin/sh
# Builds the stand-ins of the review's cases 6 to 10 as bin/review2. Run it after the build of
# deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go test -c -tags review2 -vet off -o bin/review2 ./review/stand2
