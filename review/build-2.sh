#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. Needs no network.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
cargo build --release --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
