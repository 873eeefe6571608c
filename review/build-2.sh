#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. The deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-6 ./review/6
go build -ldflags=-linkmode=external -o target/review-10 ./review/10
