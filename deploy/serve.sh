#!/bin/sh
# Starts the proxy with memory settings that follow `limits.memory_mb` of the file $LB_CONFIG, which `serve` reads too.
# The limit covers the whole process, of which the JVM itself (classes, code, threads) takes about 24 MB.
# The script ends with exec and starts no child process, so that signals sent to it reach the proxy.
memory_mb=192
mgmt=${LB_MGMT:-}
if [ -r "${LB_CONFIG:-}" ]; then
  memory_found=
  while IFS= read -r line || [ -n "$line" ]; do
    case $line in
      *'"mgmt"'*) mgmt=${mgmt:-given} ;;
    esac
    case $line in
      *'"memory_mb"'*)
        line=${line#*'"memory_mb"'}
        line=${line#"${line%%[0-9]*}"}
        line=${line%%[!0-9]*}
        memory_mb=${line:-$memory_mb}
        memory_found=yes
        ;;
    esac
    [ -z "$memory_found" ] || [ -z "$mgmt" ] || break
  done <"$LB_CONFIG"
fi
# With a management API, operators upgrade by starting a new process beside the old one; both share the memory.
[ -z "$mgmt" ] || memory_mb=$((memory_mb / 2))
heap_mb=$(((memory_mb - 24) / 2))
[ "$heap_mb" -ge 8 ] || heap_mb=8
direct_mb=$((memory_mb / 16))
[ "$direct_mb" -ge 8 ] || direct_mb=8
# The optional class-data-sharing archive of the build shortens restarts.
archive=proxy/target/amberhoist.jsa
[ -r "$archive" ] && archive_option=-XX:SharedArchiveFile=$archive || archive_option=-Xshare:auto
# A process inherits an ignored SIGHUP, from nohup for one, and neither this shell nor the JVM can undo that. env can, and
# goes on as the JVM in the same process.
hangup=
if [ -e proxy/target/env-default-signal ] && [ -r /proc/self/status ]; then
  while read -r field value; do
    [ "$field" != SigIgn: ] || case $value in *[13579bdf]) hangup='env --default-signal=HUP' ;; esac
  done </proc/self/status
fi
# The platform supports IPv4 only; without preferIPv4Stack the JVM opens dual-stack IPv6 sockets.
exec $hangup java "-Xmx${heap_mb}m" -Xms8m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto "$archive_option" \
  -XX:-UsePerfData "-XX:MaxDirectMemorySize=${direct_mb}m" -Djava.net.preferIPv4Stack=true -jar proxy/target/amberhoist.jar serve
