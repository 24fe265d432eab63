#!/usr/bin/env bash
# Format check, vet, linters, the deploy build, and all tests. The linters are pinned in tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")"

tool() {
	go tool -modfile=tools/go.mod "$@"
}

# empty NAME TEXT fails unless TEXT is empty.
empty() {
	if [ -n "$2" ]; then
		printf '%s:\n%s\n' "$1" "$2" >&2
		exit 1
	fi
}

empty "gofmt needed" "$(gofmt -l .)"
empty "goimports needed" "$(tool goimports -local standpoint -l .)"
go vet ./...
tool staticcheck -checks all ./...
tool errcheck -exclude tools/errcheck-exclude.txt ./...
tool revive -config tools/revive.toml -set_exit_status ./...
tool unparam ./...
empty "unreachable from any program or test" "$(tool deadcode -test ./...)"

mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...
exec bash ./known-red.sh
