#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off go build -trimpath -o ../../target/review-stand .
