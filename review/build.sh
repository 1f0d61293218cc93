#!/usr/bin/env bash
# Builds the stand-ins and checkers of the review cases into review/bin.
# They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -buildvcs=false -o bin/ ./cmd/...
