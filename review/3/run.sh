#!/bin/sh
# Plays case 3; TROUBLE=0 plays it without the tenant that sends more.
cd "$(dirname "$0")/../.."
exec target/review/case3
