#!/bin/bash
# Applies each mutation in list.txt to a copy of the sources and runs the schedule explorer
# of package coordinator on it, to check that the explorer detects the missing mechanism.
#
#   tools/mutants/play.sh [SCHEDULES]     default: 3,000 schedules
#
# Prints one line per mutation: "found" with the first violation, "not found", or "?" if the
# mutation doesn't apply or doesn't compile.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
schedules=${1:-3000}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git -C "$here/../.." ls-files -z --cached -- pkg go.work go.work.sum | tar -C "$here/../.." --null -T - -cf - | tar -C "$copy" -xf -
cd "$copy"
printf 'go 1.26.0\n\nuse (\n%s\n)\n' "$(find pkg -name go.mod -printf '\t./%h\n')" > go.work

trim() { sed 's/^ *//; s/ *$//'; }
while IFS= read -r line; do
  case "$line" in '' | '#'*) continue ;; esac
  plain=${line//\\|/$'\001'}
  IFS='|' read -r name file old new <<< "$plain"
  name=$(trim <<< "$name") file=$(trim <<< "$file")
  old=$(trim <<< "${old//$'\001'/|}") new=$(trim <<< "${new//$'\001'/|}")
  cp "$file" original
  OLD=$old NEW=$new perl -0pi -e '
    my ($old, $new) = map { s/\\n/\n/gr =~ s/\\t/\t/gr } @ENV{qw(OLD NEW)};
    s/\Q$old\E/$new/ or die "text not found\n"' "$file" || { echo "?         $name: text not found in $file"; cp original "$file"; continue; }
  if out=$(timeout 600 go test ./pkg/coordinator -run 'TestSchedules|TestBUDGETOfFatalRequestsInSchedules|TestBUDGETOfPartsInSchedules|TestLOSTBesidePartsInSchedules' -explore.schedules="$schedules" -timeout 550s 2>&1); then
    echo "not found $name"
  elif grep -q 'build failed' <<< "$out"; then
    echo "?         $name: does not compile"
  else
    echo "found     $name: $(grep -m1 -oE '_test.go:[0-9]+: .*|panic: .*' <<< "$out" | sed 's/^_test.go:[0-9]*: //')"
  fi
  cp original "$file"
done < "$here/list.txt"
