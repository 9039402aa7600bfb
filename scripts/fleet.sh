# Functions for scripts that start nodes and stand-ins on loopback. Source this file; do not run it.
# Sets: work, platform, entries, operations, targets, node_pids, target_pids.
ctl=build/src/nutmeghingectl/nutmeghingectl
work=$(mktemp -d)
entries=()
operations=()
targets=()
node_pids=()
target_pids=()
platform_pid=

# Kills all processes of the fleet and removes their folder.
remove_fleet() {
    for pid in "${node_pids[@]}" "${target_pids[@]}" $platform_pid; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -9 "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}

# Joins the arguments with commas.
join() {
    local IFS=,
    echo "$*"
}

# Waits for the first line of a log that contains the text, and prints the rest of that line.
wait_for_line() {
    local log=$1 text=$2 line
    for _ in $(seq 1 500); do
        line=$(grep -m 1 -F -- "$text" "$log" 2>/dev/null || true)
        if [ -n "$line" ]; then
            printf '%s\n' "${line##*"$text"}"
            return 0
        fi
        sleep 0.02
    done
    echo "timeout: no line with '$text' in $log" >&2
    return 1
}

start_platform() {
    build/tests/standins/standin-platform --listen 127.0.0.1:0 >"$work/platform.log" 2>&1 &
    platform_pid=$!
    platform=$(wait_for_line "$work/platform.log" "listening ")
}

# start_vm SERVICE NAME ZONE [TARGET OPTIONS...]: starts the node and the target of one VM.
start_vm() {
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
    entries+=("$(wait_for_line "$work/$name.log" "listening for callers on ")")
    operations+=("$(wait_for_line "$work/$name.log" "listening for operations on ")")
    announce=$(wait_for_line "$work/$name.log" "listening for target on ")
    build/tests/standins/standin-target --listen 127.0.0.1:0 --service "$service" --name "$name" --node-announce "$announce" \
        "$@" >"$work/$name-target.log" 2>&1 &
    target_pids+=($!)
    targets+=("$(wait_for_line "$work/$name-target.log" "listening ")")
}

# Prints the number of shards that the node at an operations endpoint serves.
served_by() {
    local serving
    serving=$(curl -s -m 2 "http://$1/status" | grep -o '"serving":\[[^]]*\]' || true)
    grep -o '[0-9]\+' <<<"$serving" | wc -l || true
}

# wait_until_served SHARDS MAX_PER_NODE: waits until the nodes together serve this number of shards, and no node serves more than MAX_PER_NODE.
wait_until_served() {
    local shards=$1 max_per_node=$2 total count peak
    for _ in $(seq 1 900); do
        total=0
        peak=0
        for endpoint in "${operations[@]}"; do
            count=$(served_by "$endpoint")
            total=$((total + count))
            [ "$count" -gt "$peak" ] && peak=$count
        done
        [ "$total" -eq "$shards" ] && [ "$peak" -le "$max_per_node" ] && return 0
        sleep 0.1
    done
    echo "timeout: the nodes serve $total of $shards shards, at most $peak on one node" >&2
    return 1
}

# Prints the index of the VM whose node is the coordinator.
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

# Kills the node and the target of the VM with this index.
kill_vm() {
    kill -9 "${node_pids[$1]}" "${target_pids[$1]}"
}
