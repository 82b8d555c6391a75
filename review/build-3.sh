#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start. It needs the Go toolchain and
# no network: the stand-ins use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/review-bed ./review/bed
