#!/bin/bash
# Generates variants of a site file, to check that nothing is tuned to that site.
#
#   tools/variants/make.sh SITE DIRECTORY
#
# Writes one file per variant to DIRECTORY, which must be outside the repository. Run the
# variants with tools/compare.
set -euo pipefail
site=$1 directory=$2
mkdir -p "$directory"
cp "$(dirname "$site")/wire.json" "$directory/"

# variant NAME EDIT applies EDIT, a Perl expression, to each line of the site file.
variant() {
  perl -pe "$2" "$site" > "$directory/$1.toml"
}

# Perl conditions that match the lines of the service with engines and those of models.
engines='/model = "llm"/'
models='/^\s*\{ name = "[^"]*", mb = /'

variant same ''
# Stricter accounting: worth counts from a caller's first attempt, without windows.
variant strict 's/^\[bounds\]$/[bounds]\neven = true\ncloses = true\nattends = true/; s/^\[timing\]$/[timing]\ntruthful = true/'
variant fewer-servers "s/count = (\\d+)/'count = ' . (\$1 > 1 ? \$1 - 1 : 1)/ge if $engines"
variant more-servers "s/count = (\\d+)/'count = ' . 2 * \$1/ge if $engines"
variant scarce-memory "s/\\bmb = 200000\\.0, resident = 2/mb = 120000.0, resident = 1/ if $engines"
variant small-caches "s/host_mb = [\\d.]+/host_mb = 75000.0/, s/disk_mb = [\\d.]+/disk_mb = 80000.0/ if $engines"
variant slow-store "s/load_s = ([\\d.]+)/'load_s = ' . 2.5 * \$1/ge if $models"
variant much-traffic 's/per_s = ([\d.]+)/"per_s = " . 2.5 * $1/ge if /^\s*\{ zone = "[^"]*", mix = /'
variant many-models "if ($models && /share = 0\\.0,/) { my \$twin = s/name = \"/name = \"twin-/r; \$_ .= \$twin }"

# The weight store: the number of concurrent loads at full speed, the duration of loads, and copies of weights
# near the servers; and steady demand.
variant knee-2 's/^at_once = \d+/at_once = 2/'
variant knee-20 's/^at_once = \d+/at_once = 20/'
variant short-loads "s/load_s = [\\d.]+/load_s = 1.6/ if $models"
variant long-loads "s/load_s = [\\d.]+/load_s = 9.5/ if $models"
variant no-copies "s/host_mb = [\\d.]+/host_mb = 0.0/, s/disk_mb = [\\d.]+/disk_mb = 0.0/ if $engines"
variant flat-demand 's/\{ at = [\d.]+, kind = "model_shift"[^}]*\},?//; s/only_now = \d+/only_now = 5/'

# Zones: everything in the first zone, and two more zones with the properties of the last.
zones=($(perl -ne 'print "$1\n" if /^\s*\{ name = "([^"]+)", region = "/' "$site"))
first=${zones[0]} last=${zones[-1]}
others=$(IFS='|'; echo "${zones[*]:1}")
variant one-zone "if (/^\s*\{ name = \"($others)\", region = /) { \$_ = '' } s/\"($others)\"/\"$first\"/g"
variant more-zones "
  if (/^\s*\{ name = \"$last\", region = /) { \$_ .= s/\"$last\"/\"$last-2\"/r . s/\"$last\"/\"$last-3\"/r }
  elsif (/^\s*\{ (class|zone) = .*\"$last\"/) { \$_ .= s/\"$last\"/\"$last-2\"/r . s/\"$last\"/\"$last-3\"/r }
  else { s/(\{ zone = \"$last\", count = \d+ \})/my \$s = \$1; join(', ', \$s, \$s =~ s{$last}{$last-2}r, \$s =~ s{$last}{$last-3}r)/ge if /servers = \[/ }"
ls "$directory"
