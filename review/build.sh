#!/bin/sh
# Builds the stand-ins and scripts of the review, after the build of the deploy file.
# They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/kit review/kit/main.rs
