#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
home=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
rm -rf "$home/target/review-2"
mkdir -p "$home/target/review-2"
javac -d "$home/target/review-2" -cp "$home/target/daemon/*" "$home"/review/standin-2/*.java
