#!/bin/sh
# Builds the stand-ins of the review's scripts.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
