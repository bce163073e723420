#!/bin/sh
# Builds the stand-ins of the cases into target/review. Needs only the JDK.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all -Werror -d target/review review/standin/review/*.java
