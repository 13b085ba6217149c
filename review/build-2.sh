#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. Needs the JDK that the build of the deploy file
# uses, and no network.
set -eu
cd "$(dirname "$0")/rig-2"
rm -rf classes
mkdir classes
javac --release 17 -Xlint:all -d classes src/*.java
