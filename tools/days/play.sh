#!/bin/bash
# Runs generated days on a site of the users' bench. Each day has one kind of fault at three
# times: alone, with a rolling stop of all nodes, with a platform outage, or with a power loss
# of all nodes. Prints the violations of each day that breaks a rule, and totals at the end.
#
#   tools/days/play.sh BENCH SITE [PATTERN]
#
# BENCH is the bench's executable, SITE a site file, PATTERN a regular expression that selects
# days by name. The days are written to a temporary directory. Run from the repository root.
#
# If the site has tenants, each day also revokes keys during the faults, lowers a quota and has
# one tenant send far more than its quota.
set -u
bench=$1 site=$2 pattern=${3:-}
days=$(mktemp -d)
trap 'rm -rf "$days"' EXIT

# Faults: a name, and the fault's fields without its time.
troubles='
srv_cut            kind = "srv_cut", share = 0.3, for_s = 5.0
srv_cut-some       kind = "srv_cut", how = "some", share = 0.4, x = 0.5, for_s = 5.0
srv_cut-one_way    kind = "srv_cut", how = "one_way", share = 0.3, for_s = 5.0
srv_cut-reset      kind = "srv_cut", how = "reset", share = 0.3, for_s = 5.0
reuse              kind = "replace_with_reuse", share = 0.3
reuse-drain        kind = "replace_with_reuse", how = "drain", share = 0.3
reuse-dark         kind = "replace_with_reuse", how = "dark", share = 0.3
scale_out          kind = "scale_out", share = 0.5, gap_s = 1.0
hup                kind = "hup", share = 1.0, gap_s = 1.0
grey-hang          kind = "srv_grey", how = "hang", share = 0.3, x = 0.5, for_s = 5.0
grey-mute          kind = "srv_grey", how = "mute", share = 0.3, x = 0.5, for_s = 5.0
grey-reset         kind = "srv_grey", how = "reset", share = 0.5, x = 0.6, for_s = 5.0
grey-shed          kind = "srv_grey", how = "shed", share = 0.5, x = 0.6, for_s = 5.0
grey-busy          kind = "srv_grey", how = "busy all", share = 1.0, x = 0.5, for_s = 4.0
grey-errors        kind = "srv_grey", how = "errors all", share = 1.0, x = 0.5, for_s = 4.0
garble             kind = "garble", share = 1.0, x = 0.1, for_s = 6.0
garble-extra       kind = "garble", how = "extra", share = 1.0, x = 0.1, for_s = 6.0
garble-extra-late  kind = "garble", how = "extra late", share = 1.0, x = 0.1, for_s = 6.0
garble-unframed    kind = "garble", how = "unframed", share = 1.0, x = 0.1, for_s = 6.0
garble-early       kind = "garble", how = "early", share = 1.0, x = 0.3, for_s = 6.0
lost-reset         kind = "answer_lost", how = "reset", share = 1.0, x = 0.3, for_s = 5.0
lost               kind = "answer_lost", share = 1.0, x = 0.3, for_s = 5.0
crash-dark         kind = "srv_crash", how = "dark", share = 0.3, for_s = 4.0
crash-all          kind = "srv_crash", how = "all", share = 1.0, for_s = 3.0
freeze             kind = "node_freeze", on = "core", count = 1, for_s = 4.0, how = "leader race drain"
freeze-giver       kind = "node_freeze", on = "core", count = 1, for_s = 5.0, how = "giver hard"
kill-meet          kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader meet drain"
slow               kind = "node_slow", share = 0.5, x = 6.0, for_s = 5.0
clock              kind = "clock_step", share = 1.0, x = 3000.0, for_s = 5.0, how = "back"
lossy              kind = "lossy", zone = "ZONE", x = 0.05, for_s = 6.0
cut                kind = "node_cut", share = 0.4, for_s = 5.0
core_cut-one_way   kind = "core_cut", count = 1, for_s = 5.0, how = "one_way"
core_cut-all       kind = "core_cut", count = 2, for_s = 5.0, how = "leader all"
down-silent        kind = "platform_down", for_s = 6.0, how = "silent"
down-nodes-many    kind = "platform_down", for_s = 6.0, how = "nodes many", share = 0.5
down-nodes-busy    kind = "platform_down", for_s = 6.0, how = "nodes busy leader", share = 0.5
down-nodes-reset   kind = "platform_down", for_s = 6.0, how = "nodes reset", share = 0.5
down-nodes-silent  kind = "platform_down", for_s = 6.0, how = "nodes leader", share = 0.5
store-slow         kind = "platform_slow", x = 100.0, for_s = 5.0
store-lost-late    kind = "platform_lost", x = 0.5, for_s = 6.0, how = "late"
compact            kind = "platform_compact", x = 6.0, for_s = 10.0, how = "drain"
orders-late        kind = "applied_late", how = "all", x = 0.6, for_s = 8.0
reset-conns        kind = "reset_conns", share = 1.0, x = 1.0
give_up            kind = "give_up", share = 0.5, for_s = 6.0
retry_abuse        kind = "retry_abuse", x = 4.0, share = 0.5, for_s = 5.0
'

# together prints the additional event of a variant, which accompanies the fault.
together() {
  case $1 in
    alone) ;;
    stop) echo '{ at = 9.0, kind = "roll_term", share = 1.0, gap_s = 1.0 },' ;;
    store) echo '{ at = 7.0, kind = "platform_down", for_s = 4.0, how = "silent" },' ;;
    herd) echo '{ at = 9.5, kind = "herd_kill", share = 1.0, for_s = 2.0, how = "power" },' ;;
  esac
}

# Additional planned events if the site has tenants.
plan_of_tenants=''
if grep -q '^contracts = .*"tenants"' "$site"; then
  plan_of_tenants='
{ at = 3.0, kind = "revoke", count = 2, gap_s = 0.7 },
{ at = 11.0, kind = "revoke", count = 2, gap_s = 0.7 },
{ at = 19.0, kind = "revoke", count = 2, gap_s = 0.7, how = "last" },
{ at = 14.0, kind = "config_change", how = "quota down" },'
fi
zone=$(sed -n 's/.*{ name = "\([^"]*\)", region = .*/\1/p' "$site" | head -1)
played=0 broken=0 failed=0
while read -r name trouble; do
  [ -n "$name" ] || continue
  for with in alone stop store herd; do
    day=own-$name-$with
    [[ $day =~ $pattern ]] || continue
    trouble=${trouble//ZONE/$zone}
    {
      echo "name = \"$day\""
      echo 'slot = "trouble"'
      echo "seed = $((1000 + played))"
      echo 'one = 0.8'
      echo 'zero = 0.4'
      echo 'goal = { floor = 0.05 }'
      echo 'labels = []'
      echo 'plan = ['
      echo '{ at = 1.0, kind = "model_shift", count = 1, for_s = 6.0 },'
      echo '{ at = 12.0, kind = "config_change", how = "route" },'
      echo '{ at = 21.0, kind = "config_change", how = "timeout" },'
      echo "$plan_of_tenants"
      [ "$with" = stop ] && together stop
      echo ']'
      echo 'faults = ['
      for at in 2.0 10.0 18.0; do echo "{ at = $at, $trouble },"; done
      [ -z "$plan_of_tenants" ] || echo '{ at = 5.0, kind = "hot_tenant", x = 6.0, for_s = 12.0 },'
      [ "$with" = stop ] || together "$with"
      echo ']'
    } > "$days/$day.toml"
    out=$("$bench" run "$site" "$days/$day.toml" --why "own days: $day" 2>&1)
    played=$((played + 1))
    if grep -q 'BROKEN' <<<"$out"; then
      broken=$((broken + 1))
      grep -E '^own-|^[A-Z]+ at ' <<<"$out" | cut -c1-200 | head -4
    elif ! grep -q "^$day" <<<"$out"; then
      failed=$((failed + 1))
      echo "$day did not run: $(tail -1 <<<"$out" | cut -c1-160)"
    fi
  done
done <<<"$troubles"
echo "$played days, $broken broke a rule, $failed did not run"
