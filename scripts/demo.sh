#!/usr/bin/env bash
# Runs a fleet of the Authority's size on loopback: four zones, eight VMs with one entry and one relay each,
# and 105 fake targets. Sends each kind of query and a short load, then stops everything.
# Fails if a response is wrong, a request is interrupted or times out, or a process exits with an error.
#
#   scripts/demo.sh               development build
#   LIMPET_DEMO_RELEASE=1 scripts/demo.sh   release build, for latency figures
#   LIMPET_DEMO_LOAD_S=20 scripts/demo.sh   longer load (seconds)
#   LIMPET_DEMO_IDLE_S=5 scripts/demo.sh    also memory and CPU of the idle processes (seconds)
#   LIMPET_DEMO_REPORT=load.json scripts/demo.sh   keep the report of the load (JSON)
set -uo pipefail
cd "$(dirname "$0")/.."

vms=8
zones=(zone-a zone-b zone-c zone-d)
ready_timeout_s=40
stop_timeout_s=15
load_s=${LIMPET_DEMO_LOAD_S:-8}
idle_s=${LIMPET_DEMO_IDLE_S:-0}
if [[ -n ${LIMPET_DEMO_RELEASE:-} ]]; then
    cargo build --workspace --bins --locked --release || exit 1
    bin_dir=target/release
else
    cargo build --workspace --bins --locked || exit 1
    bin_dir=target/debug
fi

work_dir=$(mktemp -d)
declare -A pids=()
failures=0

fail() {
    echo "FAILED: $*" >&2
    failures=$((failures + 1))
}

# Starts a process in the background and stores its ID under its name. Arguments: name, command.
start_process() {
    local name=$1
    shift
    "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.log" &
    pids[$name]=$!
}

# Sends SIGTERM to a process and waits for its exit; kills it after stop_timeout_s. Arguments: name, accepted
# exit codes.
stop_process() {
    local name=$1 accepted=$2 pid=${pids[$1]:-} code=0 waited=0
    [[ -n $pid ]] || return 0
    unset "pids[$name]"
    kill -TERM "$pid" 2>/dev/null
    while kill -0 "$pid" 2>/dev/null && ((waited < stop_timeout_s * 10)); do
        sleep 0.1
        waited=$((waited + 1))
    done
    if kill -0 "$pid" 2>/dev/null; then
        kill -KILL "$pid" 2>/dev/null
        fail "$name did not stop within $stop_timeout_s s"
    fi
    wait "$pid"
    code=$?
    [[ " $accepted " == *" $code "* ]] || fail "$name exited with $code"
}

# Ends the processes that still run, by ID; runs however the script ends.
cleanup() {
    local name
    for name in "${!pids[@]}"; do
        kill -TERM "${pids[$name]}" 2>/dev/null
    done
    sleep 0.2
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2>/dev/null
        wait "${pids[$name]}" 2>/dev/null
    done
    if ((failures > 0)); then
        echo "logs are in $work_dir" >&2
    else
        rm -rf "$work_dir"
    fi
}
trap cleanup EXIT
trap 'failures=$((failures + 1)); exit 130' INT TERM

mapfile -t ports < <("$bin_dir/limpet-bench" ports --count 8)
((${#ports[@]} == 8)) || exit 1
platform_port=${ports[0]} control_port=${ports[1]} target_port=${ports[2]} entry_peer_port=${ports[3]}
relay_peer_port=${ports[4]} entry_admin_port=${ports[5]} relay_admin_port=${ports[6]} caller_port=${ports[7]}

echo "== configuration"
"$bin_dir/limpet-bench" example authority --text "$work_dir/fleet.toml" --targets "$work_dir/targets.json" \
    --target-port "$target_port" || exit 1
"$bin_dir/limpetctl" check "$work_dir/fleet.toml" || exit 1

echo "== start: 105 targets, platform, $vms VMs in ${#zones[@]} zones"
start_process targets "$bin_dir/fake-target" --spec "$work_dir/targets.json" \
    --control "127.0.0.1:$control_port"
platform_addr="127.0.0.1:$platform_port"
vm_flags=()
for ((i = 0; i < vms; i++)); do
    vm_flags+=(--vm "127.0.0.$((11 + i))=${zones[i % 4]}")
done
start_process platform "$bin_dir/fake-platform" --addr "$platform_addr" --text "$work_dir/fleet.toml" \
    "${vm_flags[@]}"
entry_flags=()
for ((i = 0; i < vms; i++)); do
    ip="127.0.0.$((11 + i))"
    common_flags=(--ip "$ip" --zone "${zones[i % 4]}" --entry-peer-port "$entry_peer_port"
        --relay-peer-port "$relay_peer_port" --config-service "$platform_addr" --vm-list "$platform_addr")
    start_process "relay-$i" "$bin_dir/limpetshuntd" relay "${common_flags[@]}" \
        --admin-addr "$ip:$relay_admin_port"
    start_process "entry-$i" "$bin_dir/limpetshuntd" entry "${common_flags[@]}" \
        --admin-addr "$ip:$entry_admin_port" --caller-addr "$ip:$caller_port"
    entry_flags+=(--entry "$ip:$caller_port/$ip:$entry_admin_port")
done

export LIMPET_ENTRY="127.0.0.11:$caller_port" LIMPET_ADMIN="127.0.0.11:$entry_admin_port"
export LIMPET_KEY=example-key-retail
unset LIMPET_JSON LIMPET_ALLOW_PARTIAL LIMPET_DEADLINE_MS LIMPET_BODY LIMPET_BODY_FILE LIMPET_TICKET

# Repeats a command until it succeeds or ready_timeout_s pass. Arguments: what is awaited, command.
wait_for() {
    local awaited=$1 started_s=$SECONDS
    shift
    until "$@" >"$work_dir/wait.out" 2>&1; do
        if ((SECONDS - started_s >= ready_timeout_s)); then
            cat "$work_dir/wait.out" >&2
            fail "$awaited did not come within $ready_timeout_s s"
            return 1
        fi
        sleep 0.2
    done
    echo "$awaited after $((SECONDS - started_s)) s"
}

echo "== wait for readiness"
for ((i = 0; i < vms; i++)); do
    LIMPET_ADMIN="127.0.0.$((11 + i)):$entry_admin_port" wait_for "status of entry $i" \
        bash -c "\"$bin_dir/limpetctl\" status --json | grep -q '\"ready\":true'" || exit 1
done
# Targets are cold at first, and have no owner until the first coordinator is elected.
for lookup in stock-search batch-exists; do
    wait_for "complete $lookup" "$bin_dir/limpetctl" lookup "$lookup" --body 'oak 4mm' || exit 1
done
wait_for "complete order-status" "$bin_dir/limpetctl" record order-status A-1001 || exit 1
wait_for "complete fitter" "$bin_dir/limpetctl" record fitter north || exit 1

# Runs limpetctl, prints its output and checks it. Arguments: expected exit code, expected text, arguments
# of limpetctl.
expect_limpetctl() {
    local code=$1 text=$2 actual_code
    shift 2
    echo "\$ limpetctl $*"
    "$bin_dir/limpetctl" "$@" >"$work_dir/answer.out" 2>&1
    actual_code=$?
    cat "$work_dir/answer.out"
    ((actual_code == code)) || fail "limpetctl $*: exit code $actual_code, expected $code"
    grep -q -- "$text" "$work_dir/answer.out" || fail "limpetctl $*: no '$text' in the output"
}

echo "== each kind of query"
expect_limpetctl 0 'coverage: complete, 10 of 10 shards, snapshot 1' search stock-search --body 'oak 4mm'
expect_limpetctl 0 'found: true' exists batch-exists --body 'batch 77'
grep -q 'coverage: decided by the first yes\|coverage: complete' "$work_dir/answer.out" ||
    fail 'exists: the answer does not say how it was decided'
expect_limpetctl 0 'coverage: complete, 1 of 1 shards' record order-status A-1001
expect_limpetctl 0 'dependency stock-search:' lookup quote --record A-1001 --body 'oak 4mm'
expect_limpetctl 0 'coverage: complete' record fitter north
expect_limpetctl 0 'coverage: complete' order place-order A-1001 --body '{"planks": 12}'
ticket=$(sed -n 's/^ticket: //p' "$work_dir/answer.out")
cp "$work_dir/answer.out" "$work_dir/first-order.out"
echo "-- the same ticket again: the recorded outcome, no second order"
expect_limpetctl 0 'coverage: complete' order place-order A-1001 --body '{"planks": 12}' --ticket "$ticket"
cmp -s <(grep -v '^ticket: ' "$work_dir/first-order.out") "$work_dir/answer.out" ||
    fail "the repeated ticket gave another outcome"
echo "-- refusals"
LIMPET_KEY=no-such-key expect_limpetctl 4 'refused: unauthorized (HTTP 401' search stock-search
expect_limpetctl 4 'refused: unknown_lookup (HTTP 404' search no-such-lookup
expect_limpetctl 4 'refused: bad_request (HTTP 400' lookup order-status
echo "-- route of a record"
expect_limpetctl 0 'live and owned' explain order-status --record A-1001
expect_limpetctl 0 '^coordinators (4)' status >/dev/null

if ((idle_s > 0)); then
    echo "== idle: $idle_s s"
    pid_flags=()
    for ((i = 0; i < vms; i++)); do
        pid_flags+=(--pid "${pids[entry-$i]}" --pid "${pids[relay-$i]}")
    done
    "$bin_dir/limpet-bench" idle "${pid_flags[@]}" --duration-s "$idle_s" || fail "idle figures"
fi

echo "== load: $load_s s over $vms entries"
# In the background, because a shell handles a signal only after its foreground command has ended.
"$bin_dir/limpet-bench" load "${entry_flags[@]}" --duration-s "$load_s" --output "$work_dir/load.json" \
    --team retail:example-key-retail:60 --team trade:example-key-trade:60 \
    --team web:example-key-web:30 --team planning:example-key-planning:10 \
    --lookup stock-search --lookup batch-exists --lookup order-status@record \
    --lookup quote@record --lookup place-order@order &
pids[load]=$!
wait "${pids[load]}" || fail "the load saw a wrong answer, or a cut or lost request"
unset "pids[load]"
cp "$work_dir/load.json" "${LIMPET_DEMO_REPORT:-$work_dir/report.json}"

echo "== stop with SIGTERM"
for ((i = 0; i < vms; i++)); do
    stop_process "entry-$i" 0
done
for ((i = 0; i < vms; i++)); do
    stop_process "relay-$i" 0
done
stop_process platform 0
stop_process targets 0

if ((failures > 0)); then
    echo "demo: $failures failures" >&2
    exit 1
fi
echo "demo: ok in $SECONDS s"
