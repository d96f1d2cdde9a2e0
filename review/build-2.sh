#!/usr/bin/env bash
# Builds the stand-ins of the second review with rustc alone, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand-ins-2 review/stand-ins-2/main.rs
