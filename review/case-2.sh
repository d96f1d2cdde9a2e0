#!/usr/bin/env bash
# Runs one case of the second review: case-2.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0: without the disruption. KEEP=1 keeps the settings and
# logs of the controllers. Needs the build of the deploy file and review/build-2.sh.
set -u
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
stand_ins="$root/target/review-2/stand-ins-2"
if [ ! -x "$stand_ins" ] || [ ! -x "$root/target/release/foxspur" ]; then
    echo "build the deploy file's build and review/build-2.sh first" >&2
    exit 2
fi
dir=$(mktemp -d) || exit 2
TMPDIR="$dir" "$stand_ins" "$1" "$root" "$2" &
pid=$!
# The controllers end with the process that started them, however that ends.
trap 'kill "$pid" 2>/dev/null' INT TERM HUP
wait "$pid"
code=$?
if [ "${KEEP:-0}" = 1 ]; then
    echo "kept: $dir"
else
    rm -rf "$dir"
fi
[ "$code" -le 1 ] || code=2
exit "$code"
