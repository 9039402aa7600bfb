# Functions for scripts that start stand-ins and nodes on loopback; sourced, not run.
# Sets: work, platform, entries, operations, targets, node_pids, target_pids.
ctl=build/src/nutmeghingectl/nutmeghingectl
work=$(mktemp -d)
entries=()
operations=()
targets=()
node_pids=()
target_pids=()
platform_pid=

fleet_end() {
    for pid in "${node_pids[@]}" "${target_pids[@]}" $platform_pid; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -9 "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}

join() {
    local IFS=,
    echo "$*"
}

# Waits for the line of a log that holds the text; prints what follows it.
await_line() {
    local log=$1 text=$2 line
    for _ in $(seq 1 500); do
        line=$(grep -m 1 -F -- "$text" "$log" 2>/dev/null || true)
        if [ -n "$line" ]; then
            printf '%s\n' "${line##*"$text"}"
            return 0
        fi
        sleep 0.02
    done
    echo "no line with '$text' in $log" >&2
    return 1
}

start_platform() {
    build/tests/standins/standin-platform --listen 127.0.0.1:0 >"$work/platform.log" 2>&1 &
    platform_pid=$!
    platform=$(await_line "$work/platform.log" "listening ")
}

# start_seat SERVICE NAME ZONE [options of the target]
start_seat() {
    local service=$1 name=$2 zone=$3 announce
    shift 3
    cat >"$work/$name.yaml" <<YAML
node: node-$name
zone: $zone
region: here
platform: $platform
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:0", control: "127.0.0.1:0", target: "127.0.0.1:0", operations: "127.0.0.1:0"}
YAML
    build/src/nutmeghinge/nutmeghinge --settings "$work/$name.yaml" >"$work/$name.log" 2>&1 &
    node_pids+=($!)
    entries+=("$(await_line "$work/$name.log" "listening for callers on ")")
    operations+=("$(await_line "$work/$name.log" "listening for operations on ")")
    announce=$(await_line "$work/$name.log" "listening for target on ")
    build/tests/standins/standin-target --listen 127.0.0.1:0 --service "$service" --name "$name" --node-announce "$announce" \
        "$@" >"$work/$name-target.log" 2>&1 &
    target_pids+=($!)
    targets+=("$(await_line "$work/$name-target.log" "listening ")")
}

# Number of shards that the node at an operations endpoint serves.
served_by() {
    local serving
    serving=$(curl -s -m 2 "http://$1/status" | grep -o '"serving":\[[^]]*\]' || true)
    grep -o '[0-9]\+' <<<"$serving" | wc -l || true
}

# Waits until the nodes serve this many shards together, and none of them much more than its share.
await_served() {
    local shards=$1 most=$2 total count peak
    for _ in $(seq 1 900); do
        total=0
        peak=0
        for endpoint in "${operations[@]}"; do
            count=$(served_by "$endpoint")
            total=$((total + count))
            [ "$count" -gt "$peak" ] && peak=$count
        done
        [ "$total" -eq "$shards" ] && [ "$peak" -le "$most" ] && return 0
        sleep 0.1
    done
    echo "served $total of $shards shards, $peak by one node" >&2
    return 1
}

# Index of the seat whose node is the coordinator.
coordinator_index() {
    local index
    for index in "${!operations[@]}"; do
        if curl -s -m 2 "http://${operations[$index]}/status" | grep -q '"isCoordinator":true'; then
            echo "$index"
            return 0
        fi
    done
    return 1
}

# Ends a VM at once: its node and its target.
lose_vm() {
    kill -9 "${node_pids[$1]}" "${target_pids[$1]}"
}
