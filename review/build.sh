#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They have no dependencies, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/platform/standin/Cargo.toml --target-dir target/review
