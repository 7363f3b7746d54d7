#!/usr/bin/env bash
# Measures the cost of the control plane by the size of the fleet, the number of targets and the rate of
# configuration changes: starts fleets on loopback, measures points with `limpet-bench slopes point` and
# fits lines through them. Uses a release build and at most 32 VMs (64 processes) at a time.
#
#   scripts/slopes.sh OUTPUT_FOLDER
#   LIMPET_SLOPES_VMS="2 4 8"     sizes of the fleet
#   LIMPET_SLOPES_FACTORS="1 10"  factors on the shards of the Authority's example (105 targets each)
#   LIMPET_SLOPES_CHANGES="1 4"   configuration changes per second, on 8 VMs
#   LIMPET_SLOPES_TIME_S=8        time of each point (seconds)
set -uo pipefail
cd "$(dirname "$0")/.."

out=${1:?the folder for the points is missing}
sizes=${LIMPET_SLOPES_VMS:-2 4 8 16 32}
factors=${LIMPET_SLOPES_FACTORS-10 48}
changes=${LIMPET_SLOPES_CHANGES-1 2 4}
time_s=${LIMPET_SLOPES_TIME_S:-8}
zones=(zone-a zone-b zone-c zone-d)
load_per_s=20
bin=target/release
[[ -n ${LIMPET_SLOPES_NO_BUILD:-} ]] || cargo build --workspace --bins --locked --release || exit 1
mkdir -p "$out"
work=$(mktemp -d)
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
trap 'stop_all; rm -rf "$work"' EXIT
trap 'exit 130' INT TERM

# Starts a fleet: number of VMs, factor on the shards.
start_fleet() {
    local vms=$1 factor=$2 i ip common_flags vm_list=()
    mapfile -t ports < <("$bin/limpet-bench" ports --count 8)
    "$bin/limpet-bench" example authority --text "$work/fleet.toml" --targets "$work/targets.json" \
        --target-port "${ports[2]}" --shards-factor "$factor" --vms-max $((vms + vms / 4)) || exit 1
    "$bin/fake-target" --spec "$work/targets.json" --control "127.0.0.1:${ports[1]}" \
        >"$work/targets.log" 2>&1 &
    pids+=($!)
    platform="127.0.0.1:${ports[0]}"
    for ((i = 0; i < vms; i++)); do
        vm_list+=(--vm "127.0.0.$((11 + i))=${zones[i % 4]}")
    done
    "$bin/fake-platform" --addr "$platform" --text "$work/fleet.toml" "${vm_list[@]}" >"$work/platform.log" 2>&1 &
    pids+=($!)
    nodes=()
    entries=()
    for ((i = 0; i < vms; i++)); do
        ip="127.0.0.$((11 + i))"
        common_flags=(--ip "$ip" --zone "${zones[i % 4]}" --entry-peer-port "${ports[3]}"
            --relay-peer-port "${ports[4]}" --config-service "$platform" --vm-list "$platform" --log warn)
        "$bin/limpetshuntd" relay "${common_flags[@]}" --admin-addr "$ip:${ports[6]}" \
            >"$work/relay-$i.log" 2>&1 &
        pids+=($!)
        nodes+=(--node "relay:$!:$ip:${ports[6]}")
        "$bin/limpetshuntd" entry "${common_flags[@]}" --admin-addr "$ip:${ports[5]}" \
            --caller-addr "$ip:${ports[7]}" >"$work/entry-$i.log" 2>&1 &
        pids+=($!)
        nodes+=(--node "entry:$!:$ip:${ports[5]}")
        entries+=(--entry "$ip:${ports[7]}/$ip:${ports[5]}")
    done
    # A new coordinator grants no unclaimed targets for 4 s; after that, targets still move until the
    # owners are balanced.
    sleep "${LIMPET_SLOPES_SETTLE_S:-14}"
}

# Measures one point: name, further arguments of `limpet-bench slopes point`.
point() {
    local name=$1
    shift
    "$bin/limpet-bench" slopes point "${nodes[@]}" --platform "$platform" --text "$work/fleet.toml" \
        --target-port "${ports[2]}" --duration-s "$time_s" --output "$out/$name.json" "$@" ||
        { echo "FAILED: point $name" >&2; return 1; }
    echo "point $name, load average $(cut -d' ' -f1-3 /proc/loadavg)"
}

# Measures one point under a load of load_per_s: name, further arguments of `limpet-bench slopes point`.
loaded_point() {
    local name=$1 load_pid
    shift
    "$bin/limpet-bench" load "${entries[@]}" --duration-s $((time_s + 4)) --allow-partial \
        --team retail:example-key-retail:$load_per_s --lookup stock-search \
        --lookup order-status@record --output "$out/$name-load.report" 2>"$work/$name-load.log" &
    load_pid=$!
    sleep 2
    point "$name" --load-per-s $load_per_s "$@"
    wait "$load_pid" || echo "the load of $name was not clean: $(tail -1 "$work/$name-load.log")" >&2
}

for vms in $sizes; do
    start_fleet "$vms" 1
    point "vms-$vms" --timed-changes 10
    loaded_point "vms-$vms-loaded"
    if ((vms == 8)); then
        for rate in $changes; do
            point "changes-$rate" --changes-per-s "$rate"
        done
    fi
    stop_all
done
for factor in $factors; do
    start_fleet 8 "$factor"
    point "targets-$factor" --timed-changes 10
    stop_all
done
"$bin/limpet-bench" slopes fit "$out"/*.json --output "$out/slopes.fit"
