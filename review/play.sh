#!/usr/bin/env bash
# Plays one case: review/play.sh CASE FOLDER. Writes FOLDER/record.txt and ends all processes that the case started.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
case="$1"
folder="$(cd "$2" && pwd)"
cd "$(dirname "$0")/.."
standin=target/review/release/review-standin
if [ ! -x "$standin" ] || [ ! -x target/release/radishstair-platform ]; then
  echo "build first: the command of deploy/system.toml, and review/build.sh"
  exit 2
fi
scratch="$(mktemp -d)"
finish() {
  # The hosts are ended by the stand-ins' process; this is for the case that it was ended early.
  if [ -f "$scratch/pids" ]; then
    while read -r pid; do
      if grep -qs radishstair-platform "/proc/$pid/cmdline"; then kill -KILL "$pid" 2>/dev/null; fi
    done <"$scratch/pids"
  fi
  rm -rf "$scratch"
}
trap finish EXIT
timeout 110 "$standin" "$case" "$folder/record.txt" "$scratch"
code=$?
case "$code" in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
