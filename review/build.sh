#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/stand ./review/_stand
