#!/usr/bin/env bash
# Runs the case in the folder that is given: exits with 1 if its rule was broken, 0 if it held, 2 if the case couldn't
# run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/.."
folder=review/$1
program=target/review/case-$1
if [ ! -x target/release/spindlebeam ]; then
    echo "target/release/spindlebeam is missing: run the build line of deploy/balancer.toml" >&2
    exit 2
fi
if [ ! -x "$program" ] && ! bash review/build.sh; then exit 2; fi
# The program ends by itself within 100 s, with all that it started. The limit here is for a program that hangs; what
# one that crashes leaves behind is in the process group of `timeout`.
timeout --kill-after=5 110 "$program" "$folder" &
group=$!
trap 'kill -TERM -- "-$group"' INT TERM
wait "$group"
status=$?
kill -KILL -- "-$group" 2> /dev/null
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
