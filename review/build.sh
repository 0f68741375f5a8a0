#!/bin/sh
# Builds the programs of the cases, with all their stand-ins, into review/bin. It needs no network.
set -e
cd "$(dirname "$0")/src"
mkdir -p ../bin
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off go build -o ../bin/ ./case...
