#!/bin/sh
# Plays case 3; TROUBLE=0 plays it without the stops.
cd "$(dirname "$0")/../.."
exec target/review/case3
