#!/bin/bash
# Reruns the days listed in docs/seeds.md. Prints the failures of each day that breaks a rule
# or misses the gate, and totals at the end.
#
#   tools/seeds/play.sh BENCH DIRECTORY...
#
# BENCH is the bench's executable; the directories contain the site files. Days whose site file
# is in none of the directories are skipped. Run from the repository root.
set -u
bench=$1
shift
played=0 failed=0 left=0
wrong='BROKEN|FAULT|were never served|the floor is' # output of the bench for a failed day
while IFS='|' read -r _ site day _; do
  site=$(tr -d ' ' <<< "$site") day=$(sed 's/^ *//; s/ *$//' <<< "$day")
  file=
  for directory in "$@"; do
    if [ -f "$directory/$site.toml" ]; then file=$directory/$site.toml; fi
  done
  if [ -z "$file" ]; then
    left=$((left + 1))
    continue
  fi
  case "$day" in
    replay*) out=$("$bench" replay "$file" "${day#replay }" --why "days that failed, again" 2>&1) ;;
    *) out=$("$bench" run "$file" $day --why "days that failed, again" 2>&1) ;; # unquoted: the day consists of several arguments
  esac
  played=$((played + 1))
  if grep -qE "$wrong" <<< "$out" || ! grep -q '^worth' <<< "$out"; then
    failed=$((failed + 1))
    echo "failed: $site $day"
    grep -E "$wrong" <<< "$out" | cut -c1-200 | head -3
  fi
done < <(sed -n '/^## Days of the bench/,/^## Schedules/p' docs/seeds.md | grep -E '^\| [a-z]')
echo "$played run, $failed failed, $left skipped"
