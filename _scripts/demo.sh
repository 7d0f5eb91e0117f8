#!/usr/bin/env bash
# Starts 3 control hosts, 2 entry hosts and 6 sample upstreams on loopback and sends load. Under load, it kills the control
# leader and an upstream, and drains another one. Prints a table of the outcomes and exits with a non-zero status if a
# guarantee was violated. Stops all processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="$PWD/bin"
work="$(mktemp -d)"
pids=()
declare -A pid_of

cleanup() {
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

start() { # NAME COMMAND...
  local name="$1"
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=("$!")
}

say() { echo "demo: $*"; }

port="$("$bin/ebonyrill-load" ports --count 40)"
say "using ports $port to $((port + 39))"
control=""
entries=""
admins=""
for i in 1 2 3 4 5; do
  base=$((port + (i - 1) * 3))
  [ "$i" -le 3 ] && control="$control${control:+,}127.0.0.$i:$((base + 1))"
  entries="$entries${entries:+,}127.0.0.$i:$base/127.0.0.$i:$((base + 2))"
  admins="$admins${admins:+,}127.0.0.$i:$((base + 2))"
done
for i in 1 2 3 4 5; do
  base=$((port + (i - 1) * 3))
  {
    printf '[host]\nname = host%d\ndataCentre = centre-%d\n' "$i" $(((i - 1) % 3 + 1))
    printf '[listen]\ncallers = 127.0.0.%d:%d\npeers = 127.0.0.%d:%d\nadmin = 127.0.0.%d:%d\n' "$i" "$base" "$i" $((base + 1)) "$i" $((base + 2))
    printf '[control]\naddresses = %s\n' "$control"
    [ "$i" -le 3 ] && printf 'dataFolder = %s/data%d\n' "$work" "$i"
    printf '[drain]\nnotice = 600ms\nbound = 10s\n'
  } >"$work/host$i.ini"
  "$bin/ebonyrilld" check --settings "$work/host$i.ini" >/dev/null
  start "host$i" "$bin/ebonyrilld" run --settings "$work/host$i.ini"
done
export EBONYRILL_HOSTS="$control"
for _ in $(seq 50); do
  "$bin/ebonyrill" hosts init >/dev/null 2>&1 && break
  sleep 0.1
done
say "control group of 3 hosts started"
"$bin/ebonyrill" check _fixtures/services
"$bin/ebonyrill" publish _fixtures/services --wait 2>/dev/null
for i in 1 2 3; do
  start "frame$i" "$bin/ebonyrill-sample" --name "frame$i" --service frameRegister --address "127.0.0.1:$((port + 20 + i))" \
    --data-centre "centre-$i" --entries "$admins" --slots 3 --journal "$work/frame$i.journal"
  start "lists$i" "$bin/ebonyrill-sample" --name "lists$i" --service listesvc --address "127.0.0.1:$((port + 25 + i))" \
    --data-centre "centre-$i" --entries "$admins" --slots 6 --journal "$work/lists$i.journal"
done
for _ in $(seq 100); do
  "$bin/ebonyrill" status 2>/dev/null | grep -q 'upstreams: 6; slices without owner: 0; moves under way: 0' && break
  sleep 0.1
done
"$bin/ebonyrill" upstreams
say "sending load for ${DURATION:-15} s"
"$bin/ebonyrill-load" run --entries "$entries" --rate "${RATE:-400}" --duration "${DURATION:-15}s" --out "$work/result.json" &
load=$!
pids+=("$load")
sleep 6
leader="$("$bin/ebonyrill" status | awk '$4 == "leader" {print $1}')"
for i in 1 2 3; do
  case ",$leader," in
    ",127.0.0.$i:"*) victim="host$i" ;;
  esac
done
say "killing the control leader $victim and the upstream frame1 with SIGKILL"
kill -KILL "${pid_of[$victim]}" "${pid_of[frame1]}"
sleep 4
say "restarting $victim on its data folder"
start "$victim" "$bin/ebonyrilld" run --settings "$work/$victim.ini"
say "draining lists2 and undraining it"
"$bin/ebonyrill" drain lists2 2>/dev/null
"$bin/ebonyrill" undrain lists2
wait "$load"
"$bin/ebonyrill" diff _fixtures/services
"$bin/ebonyrill" owners --service frameRegister k1
"$bin/ebonyrill" report burn
"$bin/ebonyrill" report burn --html "${BURN_PAGE:-$work/burn.html}"
"$bin/ebonyrill" status --json >"$work/status.json"
"$bin/ebonyrill" status --wait
"$bin/ebonyrill-load" verify --result "$work/result.json" --journals "$work/*.journal" --status "$work/status.json"
say "no guarantee was violated"
