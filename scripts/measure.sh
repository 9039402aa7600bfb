#!/usr/bin/env bash
# Measures on real processes on loopback: latency and imbalance under load, and
# the longest wait of a request at the loss of an owner, of the coordinator, of
# both and of a zone, with the platform up and down. Prints one line a case.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
trap fleet_end EXIT

shards=64
rate=${RATE:-600}
objective=${OBJECTIVE:-imbalance}

fleet() {
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
        start_seat advice-desk "advice-$i" "zone-${zones[$((i - 1))]}" --slots 20 --connections 130 --service-time-ms 1 --check-fence
    done
    await_served "$shards" 20
}

end_fleet() {
    for pid in "${node_pids[@]}" "${target_pids[@]}" "$platform_pid"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
}

# load SECONDS ENTRIES...: prints the line of latencies and the outcomes.
load() {
    local seconds=$1
    shift
    $ctl load --entries "$(join "$@")" --targets "$(join "${targets[@]}")" --host advice-desk --rate "$rate" --duration "$seconds" \
        --keys 2000 --skew 0.9 --orders 20 --seed 7 || true
}

# loss NAME DOWN SEATS...: loses the seats after 2 s of load through the others.
loss() {
    local name=$1 down=$2 seat kept=() result
    shift 2
    for index in "${!entries[@]}"; do
        [[ " $* " == *" $index "* ]] || kept+=("${entries[$index]}")
    done
    [ "$down" = up ] || curl -s -o /dev/null -X POST -d '{"down":true}' "http://$platform/control"
    load 6 "${kept[@]}" >"$work/loss.txt" 2>&1 &
    local pid=$!
    sleep 2
    for seat in "$@"; do lose_vm "$seat"; done 2>/dev/null
    wait "$pid" || true
    result=$(grep -E 'latency|outcomes|duplicates|wrong' "$work/loss.txt" | sed 's/  */ /g' | tr '\n' ';')
    echo "loss of $name, platform $down: $result"
    end_fleet
}

case ${1:-all} in
load | all)
    fleet
    echo "load of $rate requests a second under the slots, objective $objective:"
    load 15 "${entries[@]}"
    end_fleet
    ;;&
losses | all)
    for down in up down; do
        fleet
        c=$(coordinator_index)
        loss "an owner" "$down" $(((c + 1) % 6))
        fleet
        c=$(coordinator_index)
        loss "the coordinator" "$down" "$c"
        fleet
        c=$(coordinator_index)
        loss "the coordinator and an owner" "$down" "$c" $(((c + 1) % 6))
        fleet
        c=$(coordinator_index)
        loss "a zone with the coordinator" "$down" "$c" $(((c + 3) % 6))
    done 2>/dev/null
    ;;
esac
