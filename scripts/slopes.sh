#!/usr/bin/env bash
# Measures the cost of the control plane by the size of the fleet, the number of targets and the rate of
# configuration changes: starts fleets on loopback, measures points with `limpet-bench slopes point` and
# fits lines through them. Uses a release build and at most 32 VMs (64 processes) at a time.
#
#   scripts/slopes.sh OUTPUT_FOLDER
#   LIMPET_SLOPES_VMS="2 4 8"     sizes of the fleet (VMs)
#   LIMPET_SLOPES_FACTORS="1 10"  factors on the shards of the Authority's example (105 targets each)
#   LIMPET_SLOPES_CHANGES="1 4"   configuration changes per second, on 8 VMs
#   LIMPET_SLOPES_TIME_S=8        time of each point (seconds)
set -uo pipefail
cd "$(dirname "$0")/.."

output_dir=${1:?the folder for the points is missing}
fleet_sizes=${LIMPET_SLOPES_VMS:-2 4 8 16 32}
shard_factors=${LIMPET_SLOPES_FACTORS-10 48}
change_rates=${LIMPET_SLOPES_CHANGES-1 2 4}
point_time_s=${LIMPET_SLOPES_TIME_S:-8}
zones=(zone-a zone-b zone-c zone-d)
load_per_s=20
bin_dir=target/release
[[ -n ${LIMPET_SLOPES_NO_BUILD:-} ]] || cargo build --workspace --bins --locked --release || exit 1
mkdir -p "$output_dir"
work_dir=$(mktemp -d)
pids=()

# Ends the processes of the current fleet, by ID.
stop_all() {
    ((${#pids[@]})) && kill -TERM "${pids[@]}" 2>/dev/null
    local pid waited=0
    for pid in "${pids[@]}"; do
        while kill -0 "$pid" 2>/dev/null && ((waited < 100)); do
            sleep 0.1
            waited=$((waited + 1))
        done
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    pids=()
}
trap 'stop_all; rm -rf "$work_dir"' EXIT
trap 'exit 130' INT TERM

# Starts a fleet. Arguments: number of VMs, factor on the shards.
# The elements of `ports`, in order: platform, control of the targets, targets, peers of the entries, peers
# of the relays, admin of the entries, admin of the relays, callers.
start_fleet() {
    local vms=$1 factor=$2 i ip common_flags vm_flags=()
    mapfile -t ports < <("$bin_dir/limpet-bench" ports --count 8)
    "$bin_dir/limpet-bench" example authority --text "$work_dir/fleet.toml" \
        --targets "$work_dir/targets.json" --target-port "${ports[2]}" \
        --shards-factor "$factor" --vms-max $((vms + vms / 4)) || exit 1
    "$bin_dir/fake-target" --spec "$work_dir/targets.json" --control "127.0.0.1:${ports[1]}" \
        >"$work_dir/targets.log" 2>&1 &
    pids+=($!)
    platform_addr="127.0.0.1:${ports[0]}"
    for ((i = 0; i < vms; i++)); do
        vm_flags+=(--vm "127.0.0.$((11 + i))=${zones[i % 4]}")
    done
    "$bin_dir/fake-platform" --addr "$platform_addr" --text "$work_dir/fleet.toml" \
        "${vm_flags[@]}" >"$work_dir/platform.log" 2>&1 &
    pids+=($!)
    node_flags=()
    entry_flags=()
    for ((i = 0; i < vms; i++)); do
        ip="127.0.0.$((11 + i))"
        common_flags=(--ip "$ip" --zone "${zones[i % 4]}" --entry-peer-port "${ports[3]}"
            --relay-peer-port "${ports[4]}" --config-service "$platform_addr" --vm-list "$platform_addr"
            --log warn)
        "$bin_dir/limpetshuntd" relay "${common_flags[@]}" --admin-addr "$ip:${ports[6]}" \
            >"$work_dir/relay-$i.log" 2>&1 &
        pids+=($!)
        node_flags+=(--node "relay:$!:$ip:${ports[6]}")
        "$bin_dir/limpetshuntd" entry "${common_flags[@]}" --admin-addr "$ip:${ports[5]}" \
            --caller-addr "$ip:${ports[7]}" >"$work_dir/entry-$i.log" 2>&1 &
        pids+=($!)
        node_flags+=(--node "entry:$!:$ip:${ports[5]}")
        entry_flags+=(--entry "$ip:${ports[7]}/$ip:${ports[5]}")
    done
    # A new coordinator grants no unclaimed targets for 4 s; after that, targets still move until the
    # owners are balanced.
    sleep "${LIMPET_SLOPES_SETTLE_S:-14}"
}

# Measures one point. Arguments: name, further arguments of `limpet-bench slopes point`.
measure_point() {
    local name=$1
    shift
    "$bin_dir/limpet-bench" slopes point "${node_flags[@]}" --platform "$platform_addr" \
        --text "$work_dir/fleet.toml" --target-port "${ports[2]}" --duration-s "$point_time_s" \
        --output "$output_dir/$name.json" "$@" ||
        { echo "FAILED: point $name" >&2; return 1; }
    echo "point $name, load average $(cut -d' ' -f1-3 /proc/loadavg)"
}

# Measures one point under a load of load_per_s. Arguments: name, further arguments of
# `limpet-bench slopes point`.
measure_loaded_point() {
    local name=$1 load_pid
    shift
    "$bin_dir/limpet-bench" load "${entry_flags[@]}" --duration-s $((point_time_s + 4)) --allow-partial \
        --team retail:example-key-retail:$load_per_s --lookup stock-search \
        --lookup order-status@record --output "$output_dir/$name-load.report" 2>"$work_dir/$name-load.log" &
    load_pid=$!
    sleep 2
    measure_point "$name" --load-per-s $load_per_s "$@"
    wait "$load_pid" || echo "the load of $name was not clean: $(tail -1 "$work_dir/$name-load.log")" >&2
}

for vms in $fleet_sizes; do
    start_fleet "$vms" 1
    measure_point "vms-$vms" --timed-changes 10
    measure_loaded_point "vms-$vms-loaded"
    if ((vms == 8)); then
        for rate in $change_rates; do
            measure_point "changes-$rate" --changes-per-s "$rate"
        done
    fi
    stop_all
done
for factor in $shard_factors; do
    start_fleet 8 "$factor"
    measure_point "targets-$factor" --timed-changes 10
    stop_all
done
"$bin_dir/limpet-bench" slopes fit "$output_dir"/*.json --output "$output_dir/slopes.fit"
