#!/bin/sh
# Builds the programs that the scripts of the review start, besides the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
for case in 1 2 3 4 5 more/token more/restart; do
	if [ -f "review/$case/main.go" ]; then
		go build -o "target/review-$(basename "$case")" "./review/$case"
	fi
done
