#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
[ -r "$folder/../target/QuickReloads.class" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec java -Xmx256m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp "$folder/../target" QuickReloads "$folder"
