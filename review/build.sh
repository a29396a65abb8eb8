#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts to target/review/stand. It needs Go's standard library only.
set -eu
cd "$(dirname "$0")/run"
mkdir -p ../../target/review
GOTOOLCHAIN=local GOFLAGS= GOWORK=off go build -o ../../target/review/stand .
