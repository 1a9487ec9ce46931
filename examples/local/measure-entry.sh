#!/usr/bin/env bash
# Measures the CPU time of an idle daemon, of a request and of a streamed token, with separate
# processes on loopback addresses: three control hosts, an entry, an agent and a simulated engine.
# Prints the CPU time and memory from /proc for each load. It takes about two minutes.
#   SECONDS_EACH=8 IDLE=15 measure-entry.sh
# SECONDS_EACH is the duration of each load and IDLE that of the idle measurement, in seconds. LOADS
# overrides the loads.
set -euo pipefail
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
bin=$root/bin/egretreach
state=$root/local/measure
each=${SECONDS_EACH:-8}
idle=${IDLE:-15}
tick=$(getconf CLK_TCK)
names="control-1 control-2 control-3 entry-1 host-1 host-1-engine"
# The loads, as requests per second and mean tokens per answer. Long answers determine the cost of a
# token, short ones that of a request.
loads=${LOADS-3:240 6:240 12:240 25:8 50:8 100:8}

settings() { # settings NAME: copies the settings of a daemon of the local fleet, with other addresses
  sed -e 's/127\.0\.\([1-3]\)\./127.0.4\1./g' -e "s|\.\./\.\./local|$state|" "$1.yaml" >"$state/$1.yaml"
}

fleet() { # writes a fleet configuration with one replica on one host
  sed -e 's/replicas: 2/replicas: 1/' -e 's/hosts_per_replica: 2/hosts_per_replica: 1/' -e 's/extra: 1/extra: 0/' \
    -e '/^services:/,$d' fleet.yaml >"$state/fleet.yaml"
}

start() { # start NAME COMMAND...: starts a process in the background and records its ID
  local name=$1
  shift
  "$@" >>"$state/$name.log" 2>&1 </dev/null &
  echo $! >"$state/$name.pid"
}

stop() { # stops all processes; kills and reports those that have not ended after 15 s
  local n pid
  for n in entry-1 host-1 host-1-engine control-3 control-2 control-1; do
    [ -f "$state/$n.pid" ] || continue
    pid=$(cat "$state/$n.pid")
    kill "$pid" 2>/dev/null || true
  done
  for n in $names; do
    [ -f "$state/$n.pid" ] || continue
    pid=$(cat "$state/$n.pid")
    for _ in $(seq 150); do
      kill -0 "$pid" 2>/dev/null || continue 2
      sleep 0.1
    done
    echo "killed: $n did not stop within 15 s" >&2
    kill -9 "$pid" 2>/dev/null || true
  done
  rm -f "$state"/*.pid
}

await() { # await URL: waits until the URL answers 200, for at most a minute
  for _ in $(seq 300); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.2
  done
  echo "not ready after a minute: $1; see $state" >&2
  return 1
}

up() { # makes keys and settings, starts all processes and waits until the entry is ready
  rm -rf "$state"
  mkdir -p "$state/keys" "$state/data"
  "$bin" keys init "$state/vault" >/dev/null
  local n role
  for n in control-1 control-2 control-3 entry-1 host-1; do
    role=${n%-*}
    settings "$n"
    "$bin" keys issue "$state/vault" "${role/host/agent}" "$n" --out "$state/keys/$n" >/dev/null
  done
  "$bin" keys issue "$state/vault" operator local --out "$state/keys/operator" >/dev/null
  fleet
  for n in control-1 control-2 control-3; do start "$n" "$bin" control --config "$state/$n.yaml"; done
  start host-1-engine "$bin" engine --listen 127.0.41.11:8000 --load-time 1s --token-gap 40ms --capacity 512 --prefill-rate 1000000 --fences
  start host-1 "$bin" agent --config "$state/host-1.yaml"
  start entry-1 "$bin" entry --config "$state/entry-1.yaml"
  await http://127.0.41.1:9090/readyz
  "$bin" ctl --control 127.0.41.1:7000,127.0.42.1:7000,127.0.43.1:7000 --keys "$state/keys/operator" \
    apply "$state/fleet.yaml" --base-revision 0 --change-id measure >/dev/null
  await http://127.0.41.2:9090/readyz
}

ticks() { # ticks NAME: prints the CPU time of a process, in clock ticks
  sed 's/.*) //' "/proc/$(cat "$state/$1.pid")/stat" | awk '{print $12 + $13}'
}

memory() { awk '/^VmRSS/ {printf "%.0f", $2 / 1024}' "/proc/$(cat "$state/$1.pid")/status"; }

sample() { # sample FILE: writes the CPU time of each process to a file
  local n
  for n in $names; do echo "$n $(ticks "$n")"; done >"$1"
}

used() { # used NAME: prints the CPU time of a process between the two samples, in milliseconds
  awk -v n="$1" -v t="$tick" '$1 == n {v[++i] = $2} END {print (v[2] - v[1]) * 1000 / t}' "$state/before" "$state/after"
}

sum() { # sum METRIC: prints the sum of the entry's metric over all labels
  curl -fs http://127.0.41.2:9090/metrics | awk -v m="$1" 'index($1, m) == 1 {s += $2} END {print s + 0}'
}

measure_idle() { # prints the CPU time and memory of idle processes
  local n
  sleep 3
  sample "$state/before"
  sleep "$idle"
  sample "$state/after"
  printf '%-14s %10s %8s\n' "idle ${idle} s" 'ms/s' MiB
  for n in $names; do
    printf '%-14s %10.1f %8s\n' "$n" "$(awk -v u="$(used "$n")" -v s="$idle" 'BEGIN {print u / s}')" "$(memory "$n")"
  done
}

measure_load() { # measure_load RATE TOKENS: applies a load and appends its results to a file
  local requests tokens
  requests=$(sum egretreach_time_to_first_token_seconds_count)
  tokens=$(sum egretreach_token_gap_seconds_count)
  sample "$state/before"
  "$bin" load --target http://127.0.41.2:8080 --rate "$1" --duration "${each}s" --tokens "$2" \
    --exact --streams 1 --whole 0 --lookups 0 --signoffs 0 --output json >"$state/load-$1-$2.json"
  sample "$state/after"
  requests=$(($(sum egretreach_time_to_first_token_seconds_count) - requests))
  tokens=$(($(sum egretreach_token_gap_seconds_count) - tokens + requests))
  local complete
  complete=$(awk '/"complete":/ {gsub(",", ""); s = $2; exit} END {print s + 0}' "$state/load-$1-$2.json")
  echo "$1 $2 $requests $tokens $complete $(used entry-1) $(used host-1) $(memory entry-1) $(memory host-1)" >>"$state/loads"
}

# report prints the results of all loads and the costs per request and per token that fit them best by
# least squares: time = request cost × requests + token cost × tokens.
report() {
  awk '
    BEGIN {printf "%8s %8s %9s %9s %9s %9s %9s %9s %9s\n", "rate/s", "tokens", "requests", "tokens", "complete", "entry ms", "agent ms", "entry MiB", "agent MiB"}
    {printf "%8d %8d %9d %9d %9d %9d %9d %9d %9d\n", $1, $2, $3, $4, $5, $6, $7, $8, $9
     rr += $3 * $3; rt += $3 * $4; tt += $4 * $4
     re += $3 * $6; te += $4 * $6; ra += $3 * $7; ta += $4 * $7}
    END {d = rr * tt - rt * rt
      printf "entry: %.0f us a request, %.1f us a token\n", (re * tt - te * rt) / d * 1000, (te * rr - re * rt) / d * 1000
      printf "agent: %.0f us a request, %.1f us a token\n", (ra * tt - ta * rt) / d * 1000, (ta * rr - ra * rt) / d * 1000}
  ' "$state/loads"
}

[ -x "$bin" ] || { echo "run 'make build' first" >&2 && exit 1; }
trap stop EXIT
up
measure_idle
for l in $loads; do measure_load "${l%:*}" "${l#*:}"; done
[ ! -f "$state/loads" ] || report
