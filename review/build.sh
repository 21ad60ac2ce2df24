#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The routers are built by the
# build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/harness
