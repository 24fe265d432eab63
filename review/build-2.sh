#!/usr/bin/env bash
# Builds every driver and stand-in of the second review into review/bin. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/ ./cmd-2/...
