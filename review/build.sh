#!/usr/bin/env bash
# Builds the drivers and stand-ins of the cases into review/bin. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS= GOWORK=off GOTOOLCHAIN=local GOPROXY=off CGO_ENABLED=0 go build -o bin/ ./cmd/...
