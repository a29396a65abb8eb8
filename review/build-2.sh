#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts to target/review-2/stand. It needs Go's standard library only.
set -eu
cd "$(dirname "$0")/second/run"
mkdir -p ../../../target/review-2
GOTOOLCHAIN=local GOFLAGS= GOWORK=off go build -o ../../../target/review-2/stand .
