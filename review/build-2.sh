#!/bin/sh
# Builds the stand-ins of the scripts of the second review. Needs the Rust compiler only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/src-2/standins.rs
