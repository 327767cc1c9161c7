#!/bin/sh
# Builds the stand-ins that the cases start: one program, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/stand/main.rs
