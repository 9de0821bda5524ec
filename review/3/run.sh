#!/bin/sh
# Plays case 3; TROUBLE=0 plays it without the tenant that sends more.
cd "$(dirname "$0")/../.."
[ -x target/review/case3 ] && [ -x target/coltsfootward ] || exit 2 # not built
exec target/review/case3
