#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. The deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
for n in 6 7 8; do
	go build -ldflags=-linkmode=external -o target/review-$n ./review/$n
done
