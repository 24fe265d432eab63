#!/usr/bin/env bash
# Format check, vet, linter, the deploy build, and all tests.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt needed: $unformatted" >&2
	exit 1
fi
go vet ./...
go tool -modfile=tools/go.mod staticcheck -checks all ./... # pinned there; comments_test.go looks for doc comments
mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...
exec bash ./known-red.sh
