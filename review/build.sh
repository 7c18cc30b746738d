#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/. They use the standard library only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin"
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-standin .
