#!/bin/sh
# Builds what the scripts of the second review start, beside the node that the command of
# the deploy file builds.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/4 review/5; do
    if ls "$folder"/*.go >/dev/null 2>&1; then
        go build -buildvcs=false -tags review -o target/review-2/ "./$folder"
    fi
done
