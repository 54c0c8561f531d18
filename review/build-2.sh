#!/bin/sh
# Builds what the cases 6 to 10 start beside the pooler: their clients, servers and platform.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:-serial -d target/review-2 review/src-2/*.java
