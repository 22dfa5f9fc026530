#!/bin/sh
# Builds the stand-ins and the drivers of the cases into review/target.
set -e
cd "$(dirname "$0")"
mkdir -p target
javac -d target harness/*.java
