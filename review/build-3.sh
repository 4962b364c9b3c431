#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15 with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/standins-3/main.rs -o target/review-3/standin
