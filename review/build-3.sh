#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. The build of the deploy file has to
# have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/standins3
