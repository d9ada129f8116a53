#!/bin/sh
# Builds the stand-ins of the cases. Run it after `build` of deploy/balancer.toml. It needs no network: the stand-ins
# use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -o review/bin/stand ./review/stand
