#!/bin/sh
# Builds the stand-in of the cases 6 to 10, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -o review/bin/stand2 ./review/stand2
