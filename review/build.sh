#!/bin/sh
# Builds the stand-ins that the scripts of the review start. They have no dependencies.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cargo build --release --offline --locked --manifest-path "$root/review/standin/Cargo.toml" \
    --target-dir "$root/target/review"
