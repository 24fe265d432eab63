#!/usr/bin/env bash
# Format check, vet, the deploy build, and all tests.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt needed: $unformatted" >&2
	exit 1
fi
go vet ./...
mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...
exec bash ./known-red.sh
