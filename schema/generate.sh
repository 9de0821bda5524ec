#!/usr/bin/env bash
# Generates the committed Go code from the schema. Requires protoc (Debian's
# protobuf-compiler) and the generators that .ci/tools builds.
set -euo pipefail
cd "$(dirname "$0")"
protoc --plugin=../.bin/protoc-gen-go --plugin=../.bin/protoc-gen-connect-go \
	--go_out=. --go_opt=module=coltsfootward/schema \
	--connect-go_out=. --connect-go_opt=module=coltsfootward/schema \
	coltsfootward/v1/operator.proto
