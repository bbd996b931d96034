#!/bin/sh
# Builds the stand-ins of all cases; needs the Rust tool chain only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/review review/harness/main.rs
