#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases. Needs the Rust compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-case review/src/main.rs
