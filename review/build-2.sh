#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: one program of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand_in_2 review/stand_in_2/main.rs
