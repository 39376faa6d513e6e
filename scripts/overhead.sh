#!/usr/bin/env bash
# Measures what entry and agent add to a stand-in engine: time to the first
# token, time between tokens, tokens/s and processor time, at 1, 32 and 256
# streams. Needs a release build: cargo build --release --locked.
set -euo pipefail
cd "$(dirname "$0")/.."

source scripts/processes.sh
base=${BASE_PORT:-7500}
trap 'stop_all TERM; rm -rf "$work"' EXIT

log='"log": {"format": "json", "level": "warning"}'
platform="127.0.0.1:$base"
engine="127.0.0.1:$((base + 1))"
entry="127.0.0.1:$((base + 6))"
start yuccalatch-standin platform <<JSON
{"kind": "platform", "address": "$platform", $log}
JSON
start yuccalatch-standin engine <<JSON
{"kind": "engine", "address": "$engine", $log,
 "engine": {"decode_tokens_per_s": 50, "prefill_tokens_per_s": 10000000, "batch_size": 512}}
JSON
start yuccalatch-agent agent <<JSON
{"name": "engine-1", "data_centre": "a", "data_address": "127.0.0.1:$((base + 2))",
 "control_address": "127.0.0.1:$((base + 3))", "admin_address": "127.0.0.1:$((base + 4))",
 "target_address": "$engine", "target_kind": "model", "checks_fencing": false,
 "queue": {"max_running": 512}, "platform_address": "$platform", $log}
JSON
agent_pid=${pids[-1]}
start yuccalatch-entry entry <<JSON
{"name": "entry-1", "data_centre": "a", "caller_address": "$entry",
 "control_address": "127.0.0.1:$((base + 7))", "admin_address": "127.0.0.1:$((base + 8))",
 "platform_address": "$platform", "peers": ["127.0.0.1:$((base + 3))"],
 "traffic_threads": 2, $log}
JSON
entry_pid=${pids[-1]}

key=sk-overhead
digest=$(printf '%s' "$key" | "$bin/yuccalatchctl" key digest)
cat > "$work/ticket.json" <<JSON
{"ticket": 1, "author": "overhead", "comment": "measurement", "set": [
  {"organisation": {"name": "load", "rate_tokens_per_s": 1000000000, "burst_tokens": 1000000000, "weight": 1}},
  {"key": {"name": "load-1", "organisation": "load", "digest": "$digest"}},
  {"service": {"name": "draft", "kind": "model", "model": "oak", "block_tokens": 1000, "parallel_loads": 2, "load_ms": 500}},
  {"version": {"name": "v1", "service": "draft", "weights": "oak/1"}},
  {"target": {"name": "engine-1", "service": "draft", "data_centre": "a", "version": "v1",
    "address": "127.0.0.1:$((base + 2))", "control_address": "127.0.0.1:$((base + 3))"}},
  {"route": {"name": "text", "path_prefix": "/v1/completions", "methods": ["POST"], "model": "oak",
    "service": "draft", "access": "keyed", "idempotent": true, "timeout_ms": 60000}}],
 "remove": []}
JSON
"$bin/yuccalatchctl" --platform "$platform" ticket submit "$work/ticket.json" > /dev/null
for _ in $(seq 200); do
    curl -fs "http://127.0.0.1:$((base + 8))/readyz" > /dev/null && break
    sleep 0.1
done

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

run() { # streams requests
    local streams=$1 requests=$2 path address before after tokens
    tokens=$((streams * requests * 100))
    for path in direct routed; do
        if [ $path = direct ]; then address=$engine; else address=$entry; fi
        before=$(($(cpu_ticks "$entry_pid") + $(cpu_ticks "$agent_pid")))
        printf '%s streams=%s\n' "$path" "$streams"
        "$bin/yuccalatch-replay" load --entry "$address" --key "$key" --streams "$streams" \
            --requests "$requests" --prompt-tokens 2000 --output-tokens 100 | sed -n '2p;$p'
        after=$(($(cpu_ticks "$entry_pid") + $(cpu_ticks "$agent_pid")))
        awk -v t=$((after - before)) -v n="$tokens" -v hz="$(getconf CLK_TCK)" \
            'BEGIN {printf "entry and agent: %.1f us of processor time a token\n", t / hz * 1e6 / n}'
    done
}

run 1 10
run 32 4
run 256 4
