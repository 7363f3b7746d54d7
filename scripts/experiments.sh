#!/usr/bin/env bash
# Runs one experiment of docs/experiments.md on loopback: a fleet with the configuration of an example, a
# load, and faults or operator changes. Uses a release build. Prints the load average before and after
# each run.
#
#   scripts/experiments.sh EXPERIMENT OUTPUT_FOLDER [SEED]
#
# EXPERIMENT is zone, five-times, stragglers-authority, stragglers-peachtree or restart.
set -uo pipefail
cd "$(dirname "$0")/.."

experiment=${1:?the experiment is missing}
output_dir=${2:?the folder for the reports is missing}
seed=${3:-1}
load_time_s=${LIMPET_EXPERIMENT_TIME_S:-20}
[[ -n ${LIMPET_EXPERIMENT_NO_BUILD:-} ]] || cargo build --workspace --bins --locked --release || exit 1
bin_dir=target/release
mkdir -p "$output_dir"
work_dir=$(mktemp -d)
declare -A pids=()

# Sends SIGTERM to a process and waits up to 10 s for its exit; then kills it and reports that.
# Argument: name.
stop_process() {
    local name=$1 pid=${pids[$1]} waited=0
    unset "pids[$name]"
    kill -TERM "$pid" 2>/dev/null
    while kill -0 "$pid" 2>/dev/null && ((waited < 100)); do
        sleep 0.1
        waited=$((waited + 1))
    done
    kill -KILL "$pid" 2>/dev/null && echo "$name had to be killed" >&2
    wait "$pid" 2>/dev/null
}

# Stops every process of the current fleet.
stop_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -TERM "${pids[$name]}" 2>/dev/null
    done
    for name in "${!pids[@]}"; do
        stop_process "$name"
    done
}
trap 'stop_all; rm -rf "$work_dir"' EXIT
trap 'exit 130' INT TERM

# Starts a process in the background and stores its ID under its name. Arguments: name, command.
start_process() {
    local name=$1
    shift
    "$@" >>"$work_dir/$name.log" 2>&1 &
    pids[$name]=$!
}

# Starts the relay and the entry of a VM. Argument: number of the VM.
start_vm() {
    local i=$1 ip="127.0.0.$((11 + $1))" common_flags
    common_flags=(--ip "$ip" --zone "${zones[i % ${#zones[@]}]}" --entry-peer-port "${ports[3]}"
        --relay-peer-port "${ports[4]}" --config-service "$platform_addr" --vm-list "$platform_addr"
        --log warn)
    start_process "relay-$i" "$bin_dir/limpetshuntd" relay "${common_flags[@]}" --admin-addr "$ip:${ports[6]}"
    start_process "entry-$i" "$bin_dir/limpetshuntd" entry "${common_flags[@]}" \
        --admin-addr "$ip:${ports[5]}" --caller-addr "$ip:${ports[7]}"
}

# Starts a fleet. Arguments: user, number of VMs, further arguments of `limpet-bench example`.
# The elements of `ports`, in order: platform, control of the targets, targets, peers of the entries, peers
# of the relays, admin of the entries, admin of the relays, callers.
start_fleet() {
    local user=$1 i vm_flags=()
    vms=$2
    shift 2
    mapfile -t ports < <("$bin_dir/limpet-bench" ports --count 8)
    platform_addr="127.0.0.1:${ports[0]}"
    target_control="127.0.0.1:${ports[1]}"
    "$bin_dir/limpet-bench" example "$user" --text "$work_dir/fleet.toml" --targets "$work_dir/targets.json" \
        --target-port "${ports[2]}" "$@" || exit 1
    start_process targets "$bin_dir/fake-target" --spec "$work_dir/targets.json" --control "$target_control"
    entry_flags=()
    for ((i = 0; i < vms; i++)); do
        ip="127.0.0.$((11 + i))"
        vm_flags+=(--vm "$ip=${zones[i % ${#zones[@]}]}")
        entry_flags+=(--entry "$ip:${ports[7]}/$ip:${ports[5]}")
    done
    start_process platform "$bin_dir/fake-platform" --addr "$platform_addr" --text "$work_dir/fleet.toml" \
        "${vm_flags[@]}"
    for ((i = 0; i < vms; i++)); do
        start_vm "$i"
    done
    # A new coordinator grants no unclaimed targets for 4 s. The entries learn latencies during the
    # warm-up load.
    sleep 10
}

# Runs a load. Arguments: name of the report, seconds, further arguments of `limpet-bench load`.
run_load() {
    local name=$1 seconds=$2
    shift 2
    echo "== $name, seed $seed, load average before: $(cut -d' ' -f1-3 /proc/loadavg)"
    "$bin_dir/limpet-bench" load "${entry_flags[@]}" --seed "$seed" --duration-s "$seconds" \
        --text "$work_dir/fleet.toml" --target-control "$target_control" \
        --output "$output_dir/$name.json" --plot "$output_dir/$name.svg" "$@" 2>"$work_dir/$name.load"
    grep -v ' s: .* sent, ' "$work_dir/$name.load"
    echo "== $name, load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
}

authority_load=(--team retail:example-key-retail:60 --team trade:example-key-trade:60
    --team web:example-key-web:30 --team planning:example-key-planning:10
    --lookup stock-search --lookup batch-exists --lookup order-status@record)
peachtree_load=(--team shops-east:example-key-shops-east:40 --team online:example-key-online:30
    --lookup shop-search --lookup option-exists --lookup loyalty-record@record)
zones=(zone-a zone-b zone-c zone-d)

case $experiment in
    zone)
        start_fleet authority 8
        run_load zone-warm-up 5 "${authority_load[@]}" >/dev/null
        cat >"$work_dir/zone.schedule" <<'SCHEDULE'
[{"at_s": 5, "change": {"zone_out": {"zone": "zone-b"}}},
 {"at_s": 15, "change": {"zone_in": {"zone": "zone-b"}}}]
SCHEDULE
        run_load zone 25 "${authority_load[@]}" --platform "$platform_addr" \
            --schedule "$work_dir/zone.schedule"
        ;;
    five-times)
        start_fleet authority 8
        other_teams=(--team depot-south:example-key-depot-south:50 --team web:example-key-web:50
            --team orders:example-key-orders:20 --team planning:example-key-planning:15)
        lookups=(--lookup order-status@record --lookup batch-record@record)
        run_load five-times-warm-up 5 "${other_teams[@]}" "${lookups[@]}" >/dev/null
        run_load five-times-baseline "$load_time_s" "${other_teams[@]}" "${lookups[@]}"
        run_load five-times "$load_time_s" "${other_teams[@]}" "${lookups[@]}" \
            --team depot-north:example-key-depot-north:600
        ;;
    stragglers-*)
        user=${experiment#stragglers-}
        vms=8
        [[ $user == peachtree ]] && zones=(zone-a zone-b zone-c) && vms=7
        load_arguments="${user}_load[@]"
        for hedge in on off; do
            example_flags=(--straggler-share 0.01)
            [[ $hedge == off ]] && example_flags+=(--no-hedge)
            start_fleet "$user" "$vms" "${example_flags[@]}"
            run_load "$experiment-warm-up" 5 "${!load_arguments}" >/dev/null
            run_load "$experiment-hedge-$hedge" "$load_time_s" "${!load_arguments}"
            stop_all
        done
        ;;
    restart)
        start_fleet authority 8
        run_load restart-warm-up 5 "${authority_load[@]}" >/dev/null
        run_load restart 45 "${authority_load[@]}" &
        load_pid=$!
        sleep 3
        for ((i = 0; i < vms; i++)); do
            stop_process "entry-$i"
            stop_process "relay-$i"
            start_vm "$i"
            sleep 4
        done
        wait "$load_pid"
        ;;
    *)
        echo "unknown experiment $experiment" >&2
        exit 2
        ;;
esac
