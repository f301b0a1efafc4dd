#!/usr/bin/env bash
# Builds the stand-ins and the clients of the review's scripts; needs only the JDK.
set -euo pipefail
home=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$home/target/review"
javac -Xlint:all -d "$home/target/review" "$home"/review/standin/*.java
