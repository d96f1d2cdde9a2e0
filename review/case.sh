#!/bin/sh
# Runs one test of the review: case.sh NAME [RECORD]. RECORD is the file for what was sent, answered
# and run; without it, target/review/NAME.txt. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the test couldn't run. TROUBLE=0 leaves the disruption out; KEEP=1 keeps the temporary
# folder with the settings and the logs of the controllers.
set -u
trouble=${TROUBLE:-1}
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
record=${2:-$root/target/review/$1.txt}
cd "$root" || exit 2
rig=target/review/rig
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
if [ ! -x "$rig" ] || [ -z "$run" ] || [ ! -x "${run%% *}" ]; then
    echo "build the deploy file's build and review/build.sh first" >&2
    exit 2
fi
dir=$(mktemp -d) || exit 2
# The command of the deploy file is split at its spaces.
# shellcheck disable=SC2086
"$rig" "$1" "$record" "$dir" "$trouble" $run &
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
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
