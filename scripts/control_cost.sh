#!/usr/bin/env bash
# Measures what control costs without requests: processor time of the control
# threads and memory of entries and agents, and all bytes on loopback, at
# several numbers of entries, agents and organisations. All agents share one
# stand-in target. Needs a release build: cargo build --release --locked.
set -euo pipefail
cd "$(dirname "$0")/.."

source scripts/processes.sh
base=${BASE_PORT:-8000}
seconds=${SECONDS_PER_POINT:-20}
trap 'stop_all KILL; rm -rf "$work"' EXIT

log='"log": {"format": "json", "level": "warning"}'
platform="127.0.0.1:$base"
target="127.0.0.1:$((base + 1))"

# Clock ticks of the control threads of the processes given.
control_ticks() {
    local pid thread sum=0
    for pid in "$@"; do
        for thread in "/proc/$pid/task/"*; do
            if [ "$(cat "$thread/comm")" = control ]; then
                sum=$((sum + $(awk '{print $14 + $15}' "$thread/stat")))
            fi
        done
    done
    echo "$sum"
}

resident_kb() {
    local pid sum=0
    for pid in "$@"; do
        sum=$((sum + $(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")))
    done
    echo $((sum / $#))
}

loopback_bytes() { awk '$1 == "lo:" {print $2}' /proc/net/dev; }

ticket() { # number first-organisation count
    awk -v ticket="$1" -v first="$2" -v count="$3" 'BEGIN {
        printf "{\"ticket\": %d, \"author\": \"cost\", \"comment\": \"measurement\", \"set\": [", ticket
        for (i = first; i < first + count; i++) {
            printf "%s{\"organisation\": {\"name\": \"org-%06d\", \"rate_tokens_per_s\": 1000, \"burst_tokens\": 100000, \"weight\": 1}},", (i > first ? "," : ""), i
            printf "{\"key\": {\"name\": \"key-%06d\", \"organisation\": \"org-%06d\", \"digest\": \"%064x\"}}", i, i, i + 1
        }
        printf "], \"remove\": []}\n"
    }'
}

point() { # entries agents organisations
    local entries=$1 agents=$2 organisations=$3 n peers entry_pids=() agent_pids=()
    start yuccalatch-standin platform <<JSON
{"kind": "platform", "address": "$platform", $log}
JSON
    start yuccalatch-standin target <<JSON
{"kind": "engine", "address": "$target", $log}
JSON
    peers="\"127.0.0.1:$((base + 101))\""
    for ((n = 0; n < agents; n++)); do
        start yuccalatch-agent "agent-$n" <<JSON
{"name": "engine-$n", "data_centre": "a", "data_address": "127.0.0.1:$((base + 100 + n * 3))",
 "control_address": "127.0.0.1:$((base + 101 + n * 3))", "admin_address": "127.0.0.1:$((base + 102 + n * 3))",
 "target_address": "$target", "target_kind": "model", "checks_fencing": false,
 "platform_address": "$platform", $log}
JSON
        agent_pids+=("${pids[-1]}")
    done
    for ((n = 0; n < entries; n++)); do
        start yuccalatch-entry "entry-$n" <<JSON
{"name": "entry-$n", "data_centre": "a", "caller_address": "127.0.0.1:$((base + 10 + n * 3))",
 "control_address": "127.0.0.1:$((base + 11 + n * 3))", "admin_address": "127.0.0.1:$((base + 12 + n * 3))",
 "platform_address": "$platform", "peers": [$peers], "traffic_threads": 1, $log}
JSON
        entry_pids+=("${pids[-1]}")
    done
    {
        printf '{"ticket": 1, "author": "cost", "comment": "measurement", "set": ['
        printf '{"service": {"name": "draft", "kind": "model", "model": "oak", "block_tokens": 1000, "parallel_loads": 2, "load_ms": 500}},'
        printf '{"version": {"name": "v1", "service": "draft", "weights": "oak/1"}},'
        for ((n = 0; n < agents; n++)); do
            printf '{"target": {"name": "engine-%d", "service": "draft", "data_centre": "a", "version": "v1", "address": "127.0.0.1:%d", "control_address": "127.0.0.1:%d"}},' \
                "$n" $((base + 100 + n * 3)) $((base + 101 + n * 3))
        done
        printf '{"route": {"name": "text", "path_prefix": "/v1/completions", "methods": ["POST"], "model": "oak", "service": "draft", "access": "keyed", "idempotent": true, "timeout_ms": 60000}}], "remove": []}\n'
    } > "$work/ticket.json"
    submit
    for ((n = 0; n < organisations; n += 1000)); do
        ticket $((2 + n / 1000)) "$n" 1000 > "$work/ticket.json"
        submit
    done
    for ((n = 0; n < entries; n++)); do
        for _ in $(seq 300); do
            curl -fs "http://127.0.0.1:$((base + 12 + n * 3))/readyz" > /dev/null && break
            sleep 0.1
        done
    done
    # The members and the configuration settle before the measurement.
    sleep 8
    local entry_ticks agent_ticks bytes
    entry_ticks=$(control_ticks "${entry_pids[@]}")
    agent_ticks=$(control_ticks "${agent_pids[@]}")
    bytes=$(loopback_bytes)
    sleep "$seconds"
    entry_ticks=$(($(control_ticks "${entry_pids[@]}") - entry_ticks))
    agent_ticks=$(($(control_ticks "${agent_pids[@]}") - agent_ticks))
    bytes=$(($(loopback_bytes) - bytes))
    awk -v e="$entries" -v a="$agents" -v o="$organisations" -v et="$entry_ticks" -v at="$agent_ticks" \
        -v hz="$(getconf CLK_TCK)" -v s="$seconds" -v b="$bytes" \
        -v em="$(resident_kb "${entry_pids[@]}")" -v am="$(resident_kb "${agent_pids[@]}")" \
        'BEGIN {printf "| %d | %d | %d | %.2f | %.2f | %.1f | %.1f | %.0f |\n", e, a, o,
            100 * et / hz / s / e, 100 * at / hz / s / a, em / 1024, am / 1024, b / s / (e + a)}'
    stop_all KILL
}

submit() {
    "$bin/yuccalatchctl" --platform "$platform" ticket submit "$work/ticket.json" > /dev/null
}

echo "| entries | agents | organisations | entry control, % of a core | agent control, % of a core | entry, MB | agent, MB | loopback, bytes/s a process |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- |"
if [ $# -eq 3 ]; then
    point "$@"
else
    point 3 4 0
    point 3 16 0
    point 3 64 0
    point 6 16 0
    point 12 16 0
    point 3 16 2000
    point 3 16 8000
fi
