#!/bin/sh
# Builds the stand-ins of the review. They need the Rust compiler and nothing else.
set -eu
export PATH="$HOME/.cargo/bin:$PATH"
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
rustc --edition 2021 -O -A dead_code -o "$root/target/review/rig" "$root/review/main.rs"
