#!/bin/sh
# Starts the proxy in the memory that its configuration grants: `limits.memory_mb` covers all of the process, and
# what the runtime itself takes (classes, code, threads) is about 24 MB of it. Under LB_CONFIG, as `serve` reads it.
mb=$(sed -n 's/.*"memory_mb" *: *\([0-9][0-9]*\).*/\1/p' "${LB_CONFIG:-/dev/null}" 2>/dev/null | head -n 1)
mb=${mb:-192}
heap=$(((mb - 24) / 2))
[ "$heap" -le 64 ] || heap=64
[ "$heap" -ge 8 ] || heap=8
# The build's archive of loaded classes makes for quick restarts; without it the proxy runs as well.
archive=target/amberhoist.jsa
[ -r "$archive" ] && archive=-XX:SharedArchiveFile=$archive || archive=-Xshare:auto
exec java "-Xmx${heap}m" -Xms8m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto "$archive" \
  -XX:-UsePerfData -XX:MaxDirectMemorySize=8m -jar target/amberhoist.jar serve
