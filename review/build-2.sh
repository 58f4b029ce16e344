#!/bin/sh
# Builds the cases and stand-ins of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o review/_stand2/bin/stand2 ./review/_stand2
