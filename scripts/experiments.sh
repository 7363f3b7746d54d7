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
out=${2:?the folder for the reports is missing}
seed=${3:-1}
time_s=${LIMPET_EXPERIMENT_TIME_S:-20}
[[ -n ${LIMPET_EXPERIMENT_NO_BUILD:-} ]] || cargo build --workspace --bins --locked --release || exit 1
bin=target/release
mkdir -p "$out"
work=$(mktemp -d)
declare -A pids=()

# Sends SIGTERM to a process, waits up to 10 s for its end and reports if it had to be killed.
stop() {
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

stop_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -TERM "${pids[$name]}" 2>/dev/null
    done
    for name in "${!pids[@]}"; do
        stop "$name"
    done
}
trap 'stop_all; rm -rf "$work"' EXIT
trap 'exit 130' INT TERM

start() {
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pids[$name]=$!
}

start_vm() {
    local i=$1 ip="127.0.0.$((11 + $1))" common_flags
    common_flags=(--ip "$ip" --zone "${zones[i % ${#zones[@]}]}" --entry-peer-port "${ports[3]}"
        --relay-peer-port "${ports[4]}" --config-service "$platform" --vm-list "$platform" --log warn)
    start "relay-$i" "$bin/limpetshuntd" relay "${common_flags[@]}" --admin-addr "$ip:${ports[6]}"
    start "entry-$i" "$bin/limpetshuntd" entry "${common_flags[@]}" --admin-addr "$ip:${ports[5]}" \
        --caller-addr "$ip:${ports[7]}"
}

# Starts a fleet: user, number of VMs, further arguments of `limpet-bench example`.
start_fleet() {
    local user=$1 i vm_list=()
    vms=$2
    shift 2
    mapfile -t ports < <("$bin/limpet-bench" ports --count 8)
    platform="127.0.0.1:${ports[0]}"
    control="127.0.0.1:${ports[1]}"
    "$bin/limpet-bench" example "$user" --text "$work/fleet.toml" --targets "$work/targets.json" \
        --target-port "${ports[2]}" "$@" || exit 1
    start targets "$bin/fake-target" --spec "$work/targets.json" --control "$control"
    entries=()
    for ((i = 0; i < vms; i++)); do
        ip="127.0.0.$((11 + i))"
        vm_list+=(--vm "$ip=${zones[i % ${#zones[@]}]}")
        entries+=(--entry "$ip:${ports[7]}/$ip:${ports[5]}")
    done
    start platform "$bin/fake-platform" --addr "$platform" --text "$work/fleet.toml" "${vm_list[@]}"
    for ((i = 0; i < vms; i++)); do
        start_vm "$i"
    done
    # A new coordinator grants no unclaimed targets for 4 s. The entries learn latencies during the
    # warm-up load.
    sleep 10
}

# Runs a load: name of the report, seconds, further arguments of `limpet-bench load`.
load() {
    local name=$1 seconds=$2
    shift 2
    echo "== $name, seed $seed, load average before: $(cut -d' ' -f1-3 /proc/loadavg)"
    "$bin/limpet-bench" load "${entries[@]}" --seed "$seed" --duration-s "$seconds" \
        --text "$work/fleet.toml" --target-control "$control" \
        --output "$out/$name.json" --plot "$out/$name.svg" "$@" 2>"$work/$name.load"
    grep -v ' s: .* sent, ' "$work/$name.load"
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
        load zone-warm-up 5 "${authority_load[@]}" >/dev/null
        cat >"$work/zone.schedule" <<'SCHEDULE'
[{"at_s": 5, "change": {"zone_out": {"zone": "zone-b"}}},
 {"at_s": 15, "change": {"zone_in": {"zone": "zone-b"}}}]
SCHEDULE
        load zone 25 "${authority_load[@]}" --platform "$platform" --schedule "$work/zone.schedule"
        ;;
    five-times)
        start_fleet authority 8
        other_teams=(--team depot-south:example-key-depot-south:50 --team web:example-key-web:50
            --team orders:example-key-orders:20 --team planning:example-key-planning:15)
        lookups=(--lookup order-status@record --lookup batch-record@record)
        load five-times-warm-up 5 "${other_teams[@]}" "${lookups[@]}" >/dev/null
        load five-times-baseline "$time_s" "${other_teams[@]}" "${lookups[@]}"
        load five-times "$time_s" "${other_teams[@]}" "${lookups[@]}" \
            --team depot-north:example-key-depot-north:600
        ;;
    stragglers-*)
        user=${experiment#stragglers-}
        vms=8
        [[ $user == peachtree ]] && zones=(zone-a zone-b zone-c) && vms=7
        load_arguments="${user}_load[@]"
        for hedge in on off; do
            flags=(--straggler-share 0.01)
            [[ $hedge == off ]] && flags+=(--no-hedge)
            start_fleet "$user" "$vms" "${flags[@]}"
            load "$experiment-warm-up" 5 "${!load_arguments}" >/dev/null
            load "$experiment-hedge-$hedge" "$time_s" "${!load_arguments}"
            stop_all
        done
        ;;
    restart)
        start_fleet authority 8
        load restart-warm-up 5 "${authority_load[@]}" >/dev/null
        load restart 45 "${authority_load[@]}" &
        load_pid=$!
        sleep 3
        for ((i = 0; i < vms; i++)); do
            stop "entry-$i"
            stop "relay-$i"
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
