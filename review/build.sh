#!/bin/sh
# Builds the programs that the review's scripts start, into target/review. The node itself
# is built by the deploy file's build line.
set -e
cd "$(dirname "$0")/.."
for n in 1 2 3; do
	if [ -f "review/$n/main.go" ]; then
		go build -buildvcs=false -tags review -o "target/review/case$n" "./review/$n"
	fi
done
