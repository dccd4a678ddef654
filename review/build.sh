#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-standin .
