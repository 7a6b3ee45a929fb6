#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 and later start. They need nothing but the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-ins review/stand-ins-2/main.rs
