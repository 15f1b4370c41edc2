#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the entry hosts: the store, the endpoints and the
# callers, which are one program.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
go build -tags review -o target/review2/ ./review/standin2
