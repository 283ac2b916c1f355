#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/balancer.toml and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) && cd "$folder/../.." || exit 2
[ -x bin/review2 ] && [ -x bin/violetspan ] || { echo "not built: deploy/balancer.toml, review/build-2.sh"; exit 2; }
exec bin/review2 planned-stop "$folder"
