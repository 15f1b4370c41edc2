#!/usr/bin/env bash
# Builds the stand-ins of the cases. The entry hosts are built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
go build -tags review -o target/review/standin ./review/standin
