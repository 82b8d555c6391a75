#!/usr/bin/env bash
# Runs all tests with a fixed seed for the property tests.
# Usage: scripts/test.sh SEED CHECKS
set -euo pipefail
cd "$(dirname "$0")/.."
seed=$1 checks=$2
# property lists the packages whose tests import rapid; only they accept its flags.
property=$(go list -f '{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}' ./... | sort -u)
plain=$(go list ./... | grep -vxF "${property:-none}" || true)
# Tests that KNOWN-RED.txt lists by name, in lines "test: NAME", are left out; .ci/run prints them.
known_red=$(sed -n 's/^  test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')
skip=()
if [ -n "$known_red" ]; then
  skip=(-skip "^(${known_red})\$")
fi
if [ -n "$plain" ]; then
  go test $plain "${skip[@]}"
fi
if [ -n "$property" ]; then
  go test $property "${skip[@]}" -rapid.seed="$seed" -rapid.checks="$checks" -rapid.nofailfile
fi
