#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
set -e
cd "$(dirname "$0")/stand-ins-3"
exec cargo build --release --locked --offline --target-dir ../../target/review-3
