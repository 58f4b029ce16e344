#!/bin/sh
# Builds the stand-ins and callers of the scripts of the third review into target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review3 ./review/_stand3
