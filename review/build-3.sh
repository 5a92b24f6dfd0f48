#!/usr/bin/env bash
# Builds the stand-ins and the player of the scripted cases, after the build of
# the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-harness-3 .
