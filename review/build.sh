#!/bin/sh
# Builds the stand-ins of the cases: one program without dependencies, from `review/world`.
set -eu
cd "$(dirname "$0")/world"
exec cargo build --release --offline
