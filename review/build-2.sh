#!/bin/sh
# Builds what the scripts in review/6 to review/10 start, beside the build of the deploy file: the project's own programs
# and the stand-ins and clients of review/stand-2. Run it from anywhere; the programs go to bin/ of the repository.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...
go build -o bin/stand-2 ./review/stand-2
