#!/bin/sh
# play.sh CASE FOLDER: plays a case and ends all processes that it started, however it ends. Exit code: 1 the
# rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$2" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
program=$root/target/review-2/release/review-2
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
[ -x "$root/target/release/myrtleyard" ] || { echo "run the build of the deploy file first" >&2; exit 2; }
REVIEW_PIDS=${TMPDIR:-/tmp}/linenwing-review-2-pids.$$
: > "$REVIEW_PIDS" || exit 2
export REVIEW_PIDS
end() {
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$REVIEW_PIDS"
    rm -rf "$REVIEW_PIDS" "${TMPDIR:-/tmp}/linenwing-review-2-$played"
}
trap 'kill -KILL "$played" 2>/dev/null; end; exit 2' HUP INT TERM
"$program" "$1" "$root" "$folder" &
played=$!
wait "$played"
code=$?
case $code in
    0 | 1 | 2) rm -f "$REVIEW_PIDS"; exit "$code" ;;
    *) end; exit 2 ;;
esac
