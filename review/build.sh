#!/bin/sh
# Compiles the stand-ins of the cases with the JDK alone; no network and no dependency.
set -eu
cd "$(dirname "$0")"
mkdir -p target
fresh=$(mktemp -d target/build.XXXXXX)
javac --release 17 -encoding UTF-8 -Xlint:all -d "$fresh" src/*.java
rm -rf target/classes
mv "$fresh" target/classes
