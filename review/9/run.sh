#!/usr/bin/env bash
# Plays the case on the built program; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2 -case cancelled-runs -program target/jaybarrow -record review/9/record.txt
