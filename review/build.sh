#!/bin/sh
# Builds the stand-ins that the scripts start. They need the standard library only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review || exit 2
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
