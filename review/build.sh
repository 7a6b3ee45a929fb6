#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. They use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/stand-ins review/stand-ins/main.rs
