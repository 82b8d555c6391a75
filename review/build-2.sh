#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. The build of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
