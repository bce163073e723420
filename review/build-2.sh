#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, without any library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/standin-2/*.java
