#!/bin/sh
# Builds the stand-ins that the scripts start, into review/bin/. It needs no network: the module
# has no dependencies.
set -eu
cd "$(dirname "$0")/lab"
GOTOOLCHAIN=local GOFLAGS= GOWORK=off go build -o ../bin/lab .
