#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/ragwortdoord ] || [ ! -x target/review-standin ]; then
  echo "run the build of deploy/system.toml and review/build.sh first"
  exit 2
fi
exec target/review-standin drain "$here"
