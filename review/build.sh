#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, which holds what is built.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
