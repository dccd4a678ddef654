#!/bin/bash
# Hunts on the sites whose gates were passed, the newest first, and scores them if
# asked to. Prints a line for each site, with the days that broke a rule.
#
#   tools/regression/play.sh BENCH PAGES [score]
#
# BENCH is the bench's program, PAGES the folder with the users' site files. Run it at
# the root. The first two sites of all were replaced by the large ones, and the grown one of
# the first customer by its work as it is now.
set -u
bench=$1 pages=$2 verb=${3:-hunt}

# folder, site, and the days to hunt: fewer on sites of 60 machines and more
sites='
shifted        hornada-prod-now-grown  8
large          hornada-prod-large      8
large          dpfc-auth-large         8
further-grown  lakeshore-ledger-grown  8
grown          dpfc-auth-grown         8
further        lakeshore-ledger        40
'
broken=0
while read -r folder site days; do
  [ -n "$folder" ] || continue
  file=$pages/$folder/$site.toml
  if [ ! -f "$file" ]; then
    echo "$site: no site file"
    broken=1
    continue
  fi
  case "$verb" in
    hunt) out=$("$bench" hunt "$file" --days "$days" --why "regression" 2>&1) ;;
    score) out=$("$bench" score "$file" --why "regression" 2>&1) ;;
    *) echo "unknown verb $verb: hunt or score" >&2; exit 2 ;;
  esac
  if grep -qE 'BROKEN|FAULT|GATE failed' <<< "$out"; then
    broken=1
    echo "$site: broken"
    grep -E 'BROKEN|FAULT|GATE failed' <<< "$out"
  else
    echo "$site: $(tail -n 1 <<< "$out")"
  fi
done <<< "$sites"
exit "$broken"
