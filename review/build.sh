#!/bin/sh
# Builds the programs that the scripts of the review start, besides the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
for n in 1 2 3 4 5; do
	if [ -f "review/$n/main.go" ]; then
		go build -o "target/review-$n" "./review/$n"
	fi
done
