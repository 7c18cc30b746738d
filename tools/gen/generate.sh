#!/usr/bin/env bash
# Regenerates the Go code in api/ from the .proto files.
set -eu
cd "$(dirname "$0")"
export GOWORK=off
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" github.com/bufbuild/buf/cmd/buf google.golang.org/protobuf/cmd/protoc-gen-go
cd ../../api
PATH="$bin:$PATH" buf generate
