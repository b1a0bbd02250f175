#!/bin/bash
# Builds the stand-ins that the cases start. The server itself is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand-in review/stand_in/main.rs
