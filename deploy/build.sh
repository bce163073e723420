#!/bin/sh
# Builds the router and, from a short training run, an archive of its classes for quick starts.
set -e
mvn -q -B -DskipTests -pl platform -am package
java -Xmx80m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData \
    -Dio.netty.machineId=02:00:00:00:00:00:00:01 -Dio.netty.processId=1 -Dio.netty.jfr.enabled=false \
    -XX:ArchiveClassesAtExit=target/forkseam.jsa -Xlog:cds=off -Xlog:cds+dynamic=off \
    -cp target/forkseam.jar org.forkseam.adapter.TrainingRun >target/training.log
