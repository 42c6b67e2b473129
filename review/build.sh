#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs the modules of the
# deploy build only, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/cmd/zfcase
