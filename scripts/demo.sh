#!/usr/bin/env bash
# Builds, starts nodes and stand-ins on loopback, puts a document, and runs load
# through the loss of a VM and a shrink. Prints the results.
# Exits with 0 only if no order ran twice, no answer was wrong or cut off, the
# leaving target serves no shard, and the planned stop was clean.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
bash scripts/build.sh build
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
trap remove_fleet EXIT

shards=128
document() {
    cat >"$work/advice-desk-document.yaml" <<YAML
service: advice-desk
hosts: [advice-desk]
targets:
  allow: ["advice-*"]
  checkFence: true
keys:
  header: customer-key
  shards: $shards
balance:
  objective: imbalance
  movesPerMinute: 3000
$1
YAML
    $ctl document put "$work/advice-desk-document.yaml" --platform "$platform"
}

start_platform
echo "platform on $platform"
document ""
zones=(a b c d a b)
for i in 1 2 3 4 5 6; do
    start_vm advice-desk "advice-$i" "bangkok-${zones[$((i - 1))]}" --slots 20 --connections 130 --service-time-ms 2 --check-fence
done
echo "waiting until all $shards shards are served and balanced"
wait_until_served "$shards" 32

echo "running load for 30 s; after 8 s the VM of advice-6 is killed, after 16 s a shrink removes advice-5"
# Callers use the remaining nodes only: connections to a lost VM break whatever the router does.
$ctl load --entries "$(join "${entries[@]:0:4}")" --targets "$(join "${targets[@]:0:5}")" --host advice-desk \
    --rate 600 --duration 30 --keys 2000 --skew 0.9 --orders 20 --seed 7 >"$work/load.txt" 2>&1 &
load=$!
sleep 8
kill_vm 5
sleep 8
document 'shrink:
  - at: "2026-01-01T00:00:00Z"
    leave: [advice-5]'
status=0
wait "$load" || status=1
cat "$work/load.txt"

left=$(served_by "${operations[4]}")
echo "shards still served by the leaving target: $left"
[ "$left" -eq 0 ] || status=1
$ctl status --nodes "$(join "${operations[@]:0:5}")" || status=1
$ctl timeline --nodes "$(join "${operations[@]:0:5}")" --html timeline.html >/dev/null || status=1
echo "timeline: $PWD/timeline.html"

echo "stopping the node of advice-1 as planned"
kill -TERM "${node_pids[0]}"
stopped=0
wait "${node_pids[0]}" || stopped=$?
echo "exit code of the stopped node: $stopped"
[ "$stopped" -eq 0 ] || status=1
if [ "$status" -eq 0 ]; then echo "all checks of the demo passed"; else echo "a check of the demo failed"; fi
exit "$status"
