#!/bin/sh
# Starts the proxy in the memory that its configuration grants: `limits.memory_mb` covers all of the process, and
# what the runtime itself takes (classes, code, threads) is about 24 MB of it. Under LB_CONFIG, as `serve` reads it.
# It forks nothing: whoever started this sends signals to this very process, which becomes the proxy.
mb=192
mgmt=${LB_MGMT:-}
if [ -r "${LB_CONFIG:-}" ]; then
  found=
  while IFS= read -r line || [ -n "$line" ]; do
    case $line in
      *'"mgmt"'*) mgmt=${mgmt:-given} ;;
    esac
    case $line in
      *'"memory_mb"'*)
        line=${line#*'"memory_mb"'}
        line=${line#"${line%%[0-9]*}"}
        line=${line%%[!0-9]*}
        mb=${line:-$mb}
        found=yes
        ;;
    esac
    [ -z "$found" ] || [ -z "$mgmt" ] || break
  done <"$LB_CONFIG"
fi
# Where operators have a door they start a new version beside the old one: the two share the memory.
[ -z "$mgmt" ] || mb=$((mb / 2))
heap=$(((mb - 24) / 2))
[ "$heap" -ge 8 ] || heap=8
direct=$((mb / 16))
[ "$direct" -ge 8 ] || direct=8
# The build's archive of loaded classes makes for quick restarts; without it the proxy runs as well.
archive=proxy/target/amberhoist.jsa
[ -r "$archive" ] && archive=-XX:SharedArchiveFile=$archive || archive=-Xshare:auto
# The platform knows IPv4 only; left to itself the runtime opens IPv6 sockets and maps addresses into them.
exec java "-Xmx${heap}m" -Xms8m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto "$archive" \
  -XX:-UsePerfData "-XX:MaxDirectMemorySize=${direct}m" -Djava.net.preferIPv4Stack=true -jar proxy/target/amberhoist.jar serve
