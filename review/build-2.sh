#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: the project's own, from internal/soak.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin-2 ./review/standin-2
