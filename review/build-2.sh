#!/bin/bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs only Go.
set -eu
cd "$(dirname "$0")/standin-2"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/standin-2 .
