#!/bin/sh
# Builds the stand-ins of the second review, one program, and those of the first (cases 1 to 3): the standard library alone. No
# network is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/standin-2/main.rs
sh review/build.sh
