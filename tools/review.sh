#!/usr/bin/env bash
# Plays the cases of review/ N times each (default 5), calm and disrupted, and prints a line
# each. Exits with 1 if a rule was broken or a case could not run. The records of the cases are
# left as they are in the repository.
#
#   bash tools/review.sh        # all cases, five times
#   bash tools/review.sh 1 2 5  # once: cases 2 and 5
set -uo pipefail
cd "$(dirname "$0")/.."

times=${1:-5}
shift || true
cases=("$@")
if [ ${#cases[@]} -eq 0 ]; then
	cases=(1 2 3 4 5)
fi
go build -ldflags=-linkmode=external -o target/ ./cmd/... && bash review/build.sh || exit 1

kept=$(mktemp -d)
cp -r review "$kept/"
trap 'for c in "${cases[@]}"; do cp "$kept/review/$c/record.txt" "review/$c/record.txt"; done; rm -rf "$kept"' EXIT

failed=0
play() { # CASE TROUBLE
	local outcome
	TROUBLE=$2 bash "review/$1/run.sh" >/dev/null
	case $? in
	0) outcome=held ;;
	1) outcome=BROKEN ;;
	*) outcome="NOT RUN" ;;
	esac
	[ "$outcome" = held ] || failed=1
	printf 'case %s  run %s  %-9s  %s\n' "$1" "$run" "$([ "$2" = 0 ] && echo calm || echo disrupted)" "$outcome"
}
for c in "${cases[@]}"; do
	for run in $(seq "$times"); do
		play "$c" 0
		play "$c" 1
	done
done
exit $failed
