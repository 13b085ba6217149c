#!/bin/sh
# Prepares what deploy/serve.sh uses if it is there; neither lets the build fail.
#
# Creates a class-data-sharing archive for deploy/serve.sh, from the classes that a short training run of the proxy
# loads, where the JVM can create one.
rm -f proxy/target/amberhoist.jsa
log=proxy/target/training-run.log
java -Xmx64m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Djava.net.preferIPv4Stack=true \
  -XX:ArchiveClassesAtExit=proxy/target/amberhoist.jsa -jar proxy/target/amberhoist.jar rehearse example/config.json \
  >"$log" 2>&1 || echo "no class archive, see $log" >&2
chmod a+r proxy/target/amberhoist.jsa 2>/dev/null || true

# Notes whether env can give a signal its default handling, so that the start needs no process to find out.
noted=proxy/target/env-default-signal
rm -f "$noted"
! env --default-signal=HUP true 2>/dev/null || : >"$noted"
