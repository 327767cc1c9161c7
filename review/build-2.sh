#!/bin/sh
# Builds the stand-ins of the second review (cases 4 to 8) into target/review-2. Needs no network and no library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand review/stand-2/main.rs
