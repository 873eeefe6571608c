#!/usr/bin/env bash
# Regenerates gen/ from api/. Needs protoc on PATH; the build itself does not.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$bin:$PATH" protoc -I api \
  --go_out=. --go_opt=module=github.com/egrethoist/egrethoist \
  --connect-go_out=. --connect-go_opt=module=github.com/egrethoist/egrethoist \
  api/egret/v1/*.proto
