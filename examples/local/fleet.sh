#!/usr/bin/env bash
# Starts and stops the local fleet as separate processes on loopback addresses.
#   fleet.sh up            keys, processes, configuration; returns when both entries are ready
#   fleet.sh down          a planned stop of every process that `up` recorded
#   fleet.sh kill NAME     kill -9 one process, such as entry-1
#   fleet.sh start NAME    start one process again
set -euo pipefail
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
bin=$root/bin/egretreach
state=$root/local
controls=127.0.1.1:7000,127.0.2.1:7000,127.0.3.1:7000

engine_of() { # the stand-in engine's name and address for an agent
  sed -n 's|^ *url: http://||p' "$1.yaml"
}

command_of() {
  case $1 in
    control-*) echo "$bin control --config $1.yaml" ;;
    entry-*) echo "$bin entry --config $1.yaml" ;;
    host-*-engine) echo "$bin engine --listen $(engine_of "${1%-engine}") --load-time 2s --crash-marker CRASH-ENGINE $(fences "${1%-engine}")" ;;
    records-*-service) echo "$bin service --listen $(engine_of "${1%-service}")" ;;
    host-* | records-*) echo "$bin agent --config $1.yaml" ;;
    *) echo "no process is named $1" >&2 && return 2 ;;
  esac
}

fences() { grep -q 'fences: true' "$1.yaml" && echo --fences || true; }

names() {
  echo control-1 control-2 control-3
  for h in host-1 host-2 host-3 host-4 host-5; do echo "$h-engine" "$h"; done
  echo records-1-service records-1 entry-1 entry-2
}

start() {
  local command
  command=$(command_of "$1")
  if [ -f "$state/pids/$1" ] && kill -0 "$(cat "$state/pids/$1")" 2>/dev/null; then
    echo "$1 runs already" >&2 && return 1
  fi
  # shellcheck disable=SC2086
  $command >>"$state/log/$1.log" 2>&1 </dev/null &
  echo $! >"$state/pids/$1"
}

make_keys() {
  [ -d "$state/vault" ] || "$bin" keys init "$state/vault" >/dev/null
  for f in control-* entry-* host-* records-*; do
    local name=${f%.yaml} role=agent
    [ -d "$state/keys/$name" ] && continue
    case $name in control-*) role=control ;; entry-*) role=entry ;; esac
    "$bin" keys issue "$state/vault" "$role" "$name" --out "$state/keys/$name" >/dev/null
  done
  [ -d "$state/keys/operator" ] || "$bin" keys issue "$state/vault" operator local --out "$state/keys/operator" >/dev/null
}

ctl() { "$bin" ctl --control "$controls" --keys "$state/keys/operator" "$@"; }

await() { # await URL: until it answers 200, for a minute
  for _ in $(seq 300); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.2
  done
  echo "not ready after a minute: $1; see $state/log" >&2
  return 1
}

up() {
  [ -x "$bin" ] || { echo "run 'make build' first" >&2 && return 1; }
  mkdir -p "$state/pids" "$state/log" "$state/keys" "$state/data"
  make_keys
  for n in $(names); do start "$n"; done
  await http://127.0.1.1:9090/readyz
  ctl apply fleet.yaml --base-revision 0 --change-id local-first >/dev/null
  await http://127.0.1.2:9090/readyz
  await http://127.0.2.2:9090/readyz
  ctl status
  echo "callers: http://127.0.1.2:8080 and http://127.0.2.2:8080, token dev-token-cascadia"
}

# stop NAME...: a planned stop of these processes, side by side
stop() {
  local n pid
  for n in "$@"; do
    [ -f "$state/pids/$n" ] && kill "$(cat "$state/pids/$n")" 2>/dev/null || true
  done
  for n in "$@"; do
    [ -f "$state/pids/$n" ] || continue
    pid=$(cat "$state/pids/$n")
    for _ in $(seq 300); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    rm -f "$state/pids/$n"
  done
}

down() {
  stop entry-1 entry-2
  stop host-1 host-2 host-3 host-4 host-5 records-1
  stop host-1-engine host-2-engine host-3-engine host-4-engine host-5-engine records-1-service
  stop control-1 control-2 control-3
}

case ${1:-} in
  up) up ;;
  down) down ;;
  start) start "$2" ;;
  kill) kill -9 "$(cat "$state/pids/$2")" && rm -f "$state/pids/$2" ;;
  ctl) shift && ctl "$@" ;;
  *) sed -n '2,6s/^# \{0,1\}//p' "$0" && exit 2 ;;
esac
