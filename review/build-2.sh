#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They need the Rust toolchain only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in blind foreign poison left; do
    rustc --edition 2024 -O -A dead_code -o "target/review-2/$name" "review/standins-2/$name.rs"
done
