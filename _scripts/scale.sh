#!/usr/bin/env bash
# Starts control hosts on loopback, and one process that simulates many entry hosts and upstreams. Prints the load on the
# control hosts as a row of docs/measurements/SCALE.md. Stops all processes that it started.
#
# Environment: CONTROL, ENTRIES, UPSTREAMS and SLICES are the numbers of control hosts, entry hosts, upstreams and slices;
# DURATION is the time measured; BIN is the folder with the programs; LOAD is the program that simulates the entry hosts;
# KEEP is a path to which settings, logs and data are copied at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${BIN:-$PWD/bin}"
work="$(mktemp -d)"
pids=()

cleanup() {
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  [ -n "${KEEP:-}" ] && cp -r "$work" "$KEEP"
  rm -rf "$work"
}
trap cleanup EXIT

control="${CONTROL:-5}"
port="$(bin/ebonyrill-load ports --count $((control * 3)))"
addresses=""
admins=""
for i in $(seq "$control"); do
  base=$((port + (i - 1) * 3))
  addresses="$addresses${addresses:+,}127.0.0.$i:$((base + 1))"
  admins="$admins${admins:+,}127.0.0.$i:$((base + 2))"
done
for i in $(seq "$control"); do
  base=$((port + (i - 1) * 3))
  {
    printf '[host]\nname = control%d\ndataCentre = centre-%d\n' "$i" $(((i - 1) % 7))
    printf '[listen]\ncallers = 127.0.0.%d:%d\npeers = 127.0.0.%d:%d\nadmin = 127.0.0.%d:%d\n' "$i" "$base" "$i" $((base + 1)) "$i" $((base + 2))
    printf '[control]\naddresses = %s\ndataFolder = %s/data%d\n' "$addresses" "$work" "$i"
    printf '[drain]\nnotice = 100ms\nbound = 1s\n'
  } >"$work/host$i.ini"
  "$bin/ebonyrilld" run --settings "$work/host$i.ini" >"$work/host$i.log" 2>&1 &
  pids+=("$!")
done
export EBONYRILL_HOSTS="$addresses"
for _ in $(seq 50); do
  "$bin/ebonyrill" hosts init >/dev/null 2>&1 && break
  sleep 0.1
done
mkdir "$work/services"
printf '[service]\nname = scale\nprefix = /scale\nkey = path:2\nslices = %d\n' "${SLICES:-8192}" >"$work/services/scale.ebonyrill.ini"
"$bin/ebonyrill" publish "$work/services" >/dev/null 2>&1
leader="$("$bin/ebonyrill" status | awk '$4 == "leader" {print $1}')"
"${LOAD:-bin/ebonyrill-load}" scale --control "$addresses" --leader "$leader" --admins "$admins" --entries "${ENTRIES:-100}" \
  --upstreams "${UPSTREAMS:-300}" --duration "${DURATION:-10s}" --file "$work/services/scale.ebonyrill.ini"
