#!/bin/sh
# Builds the stand-ins of all cases: one program, of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/harness
