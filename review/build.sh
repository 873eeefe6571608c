#!/bin/sh
# Builds the programs that the scripts of the review start, besides the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for n in review/[1-5]; do
	[ -f "$n/main.go" ] && go build -o "target/review-${n#review/}" "./$n"
done
