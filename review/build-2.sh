#!/bin/sh
# Builds what the cases 6 to 10 of the review start besides the programs of the deploy file: the stand-ins for agent,
# hosts and clients, with the checks. Only the standard library is used.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review2 ./review/_src2
