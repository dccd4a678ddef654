#!/bin/sh
# Builds the stand-ins of the scripts of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/review-standin2 .
