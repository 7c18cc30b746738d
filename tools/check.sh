#!/usr/bin/env bash
# Checks format, lint, generated code, build and tests of the Go workspace.
# Skips the tests listed in KNOWN-RED.txt and prints the list.
set -euo pipefail
cd "$(dirname "$0")/.."

echo "== format"
unformatted=$(GOWORK=off go -C tools/lint tool gofumpt -l "$PWD/api" "$PWD/cmd" "$PWD/internal" "$PWD/platform" | grep -v '\.pb\.go$' || true)
if [ -n "$unformatted" ]; then
	echo "not formatted, run tools/format.sh:"
	echo "$unformatted"
	exit 1
fi

echo "== lint"
staticcheck="$(mktemp -d)/staticcheck"
GOWORK=off go -C tools/lint build -o "$staticcheck" honnef.co/go/tools/cmd/staticcheck
go vet ./... ./api/...
"$staticcheck" ./... ./api/...

echo "== generated code"
before=$(cat api/ragwortdoor/v1/*.pb.go | sha256sum)
tools/gen/generate.sh
after=$(cat api/ragwortdoor/v1/*.pb.go | sha256sum)
if [ "$before" != "$after" ]; then
	echo "generated code in api/ is out of date: commit the output of tools/gen/generate.sh"
	exit 1
fi

echo "== build"
go build ./... ./api/...

echo "== test"
skip=()
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')
if [ -n "$red" ]; then
	echo "skipped, listed in KNOWN-RED.txt:"
	cat KNOWN-RED.txt
	skip=(-skip "^($red)\$")
fi
go test -race -timeout 20m "${skip[@]}" ./...
