#!/usr/bin/env bash
# Measures real processes on loopback: latency and imbalance under load, and the
# longest wait of a request after the loss of an owner, of the coordinator, of
# both, and of a zone, with the platform up and down. Prints one line per case.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
trap remove_fleet EXIT

shards=64
rate=${RATE:-600}
objective=${OBJECTIVE:-imbalance}

start_fleet() {
    entries=() operations=() targets=() node_pids=() target_pids=()
    start_platform
    cat >"$work/document.yaml" <<YAML
service: advice-desk
hosts: [advice-desk]
targets: {allow: ["advice-*"], checkFence: true}
keys: {header: customer-key, shards: $shards}
balance: {objective: $objective, movesPerMinute: 3000}
YAML
    $ctl document put "$work/document.yaml" --platform "$platform" >/dev/null
    local zones=(a b c a b c)
    for i in 1 2 3 4 5 6; do
        start_vm advice-desk "advice-$i" "zone-${zones[$((i - 1))]}" --slots 20 --connections 130 --service-time-ms 1 --check-fence
    done
    wait_until_served "$shards" 20
}

stop_fleet() {
    for pid in "${node_pids[@]}" "${target_pids[@]}" "$platform_pid"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
}

# load SECONDS ENTRIES...: runs load through the entries and prints latencies and outcomes.
load() {
    local seconds=$1
    shift
    $ctl load --entries "$(join "$@")" --targets "$(join "${targets[@]}")" --host advice-desk --rate "$rate" --duration "$seconds" \
        --keys 2000 --skew 0.9 --orders 20 --seed 7 || true
}

# measure_loss NAME PLATFORM VMS...: kills the VMs with these indexes after 2 s of load through the others. PLATFORM is up or down.
measure_loss() {
    local name=$1 platform_state=$2 vm remaining=() result
    shift 2
    for index in "${!entries[@]}"; do
        [[ " $* " == *" $index "* ]] || remaining+=("${entries[$index]}")
    done
    [ "$platform_state" = up ] || curl -s -o /dev/null -X POST -d '{"down":true}' "http://$platform/control"
    load 6 "${remaining[@]}" >"$work/loss.txt" 2>&1 &
    local pid=$!
    sleep 2
    for vm in "$@"; do kill_vm "$vm"; done 2>/dev/null
    wait "$pid" || true
    result=$(grep -E 'latency|outcomes|duplicates|wrong' "$work/loss.txt" | sed 's/  */ /g' | tr '\n' ';')
    echo "loss of $name, platform $platform_state: $result"
    stop_fleet
}

case ${1:-all} in
load | all)
    start_fleet
    echo "load of $rate requests per second, within the slots of the targets, objective $objective:"
    load 15 "${entries[@]}"
    stop_fleet
    ;;&
losses | all)
    for platform_state in up down; do
        start_fleet
        coordinator=$(coordinator_index)
        measure_loss "an owner" "$platform_state" $(((coordinator + 1) % 6))
        start_fleet
        coordinator=$(coordinator_index)
        measure_loss "the coordinator" "$platform_state" "$coordinator"
        start_fleet
        coordinator=$(coordinator_index)
        measure_loss "the coordinator and an owner" "$platform_state" "$coordinator" $(((coordinator + 1) % 6))
        start_fleet
        coordinator=$(coordinator_index)
        measure_loss "a zone with the coordinator" "$platform_state" "$coordinator" $(((coordinator + 3) % 6))
    done 2>/dev/null
    ;;
esac
