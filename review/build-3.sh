#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the entry hosts: the store, the servers and the consumers,
# which are one program.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
go build -tags review -o target/review3/ ./review/standin3
