#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The project's programs are built by the command in
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOWORK=off go build -buildvcs=false -o ../../target/review-2-probe .
