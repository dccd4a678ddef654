#!/bin/bash
# Runs the bench's hunt, or with "score" its score, on the sites whose gates were passed, newest first.
# Prints a line for each site, and the violations and failed gates. Exits with 1 if there are any or if a site
# file is missing.
#
#   tools/regression/play.sh BENCH PAGES [score]
#
# BENCH is the bench's executable, PAGES the directory with the users' site files. Run from the
# repository root. The first two sites are not listed, as the large ones replace them;
# hornada-prod-now-grown replaces the grown site of the same customer.
set -u
bench=$1 pages=$2 verb=${3:-hunt}

# Directory, site, and number of days to hunt: fewer on sites with 60 machines or more.
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
