#!/usr/bin/env bash
# Formats the Go code with gofumpt.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK=off go -C tools/lint tool gofumpt -w "$PWD/api" "$PWD/cmd" "$PWD/internal" "$PWD/platform"
