#!/usr/bin/env bash
# Starts and stops the local fleet as separate processes on loopback addresses.
#   fleet.sh up            make the keys, start all processes, apply the configuration, wait until ready
#   fleet.sh down          stop every process that up or start has recorded, as planned stops
#   fleet.sh kill NAME     kill -9 one process, such as entry-1
#   fleet.sh start NAME    start one process again
set -euo pipefail
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
bin=$root/bin/egretreach
state=$root/local
controls=127.0.1.1:7000,127.0.2.1:7000,127.0.3.1:7000

endpoint_address() { # endpoint_address HOST: prints the address of the endpoint in an agent's settings
  sed -n 's|^ *url: http://||p' "$1.yaml"
}

command_of() { # command_of NAME: prints the command line of a process
  case $1 in
    control-*) echo "$bin control --config $1.yaml" ;;
    entry-*) echo "$bin entry --config $1.yaml" ;;
    host-*-engine) echo "$bin engine --listen $(endpoint_address "${1%-engine}") --load-time 2s --crash-marker CRASH-ENGINE $(fences "${1%-engine}")" ;;
    records-*-service) echo "$bin service --listen $(endpoint_address "${1%-service}")" ;;
    host-* | records-*) echo "$bin agent --config $1.yaml" ;;
    *) echo "there is no process named $1" >&2 && return 2 ;;
  esac
}

fences() { grep -q 'fences: true' "$1.yaml" && echo --fences || true; }

process_names() { # prints the names of all processes
  echo control-1 control-2 control-3
  for h in host-1 host-2 host-3 host-4 host-5; do echo "$h-engine" "$h"; done
  echo records-1-service records-1 entry-1 entry-2
}

start() { # start NAME: starts a process in the background and records its ID
  local command
  command=$(command_of "$1")
  if [ -f "$state/pids/$1" ] && kill -0 "$(cat "$state/pids/$1")" 2>/dev/null; then
    echo "$1 is already running" >&2 && return 1
  fi
  # shellcheck disable=SC2086
  $command >>"$state/log/$1.log" 2>&1 </dev/null &
  echo $! >"$state/pids/$1"
}

make_keys() { # makes the authority and the keys that are missing
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

await() { # await URL: waits until the URL answers 200, for at most a minute
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
  for n in $(process_names); do start "$n"; done
  await http://127.0.1.1:9090/readyz
  ctl apply fleet.yaml --base-revision 0 --change-id local-first >/dev/null
  await http://127.0.1.2:9090/readyz
  await http://127.0.2.2:9090/readyz
  ctl status
  echo "callers: http://127.0.1.2:8080 and http://127.0.2.2:8080, token dev-token-cascadia"
}

# stop NAME...: stops these processes at the same time and waits for each for at most 30 s
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
