#!/bin/sh
# Builds the stand-ins that the cases of this review start. Needs the JDK only.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir target
javac -Xlint:all -Werror -d target rig/*.java
