#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review. They use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/stand-ins-3 review/stand-ins-3/main.rs
