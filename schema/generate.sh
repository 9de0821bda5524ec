#!/usr/bin/env bash
# Makes the committed Go code from the schema. Needs protoc (Debian's
# protobuf-compiler) and the generators that .ci/tools builds.
set -euo pipefail
cd "$(dirname "$0")"
protoc --plugin=../.bin/protoc-gen-go --plugin=../.bin/protoc-gen-connect-go \
	--go_out=. --go_opt=module=coltsfootward/schema \
	--connect-go_out=. --connect-go_opt=module=coltsfootward/schema \
	coltsfootward/v1/operator.proto
