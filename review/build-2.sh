#!/bin/sh
# Builds the stand-ins of the second review into target/review-2. Run it after the build of deploy/system.toml. It needs no network.
set -e
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target/review-2
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=readonly go build -trimpath -o ../../target/review-2/stand .
