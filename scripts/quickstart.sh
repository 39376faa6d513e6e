#!/usr/bin/env bash
# Builds the programs, starts a small deployment on loopback as separate
# processes, submits the first ticket, sends the same streamed prompt twice and
# stops everything. Needs cargo and curl. With KEEP=1 it waits for Enter before
# it stops.
set -euo pipefail
cd "$(dirname "$0")/.."

profile_dir=${PROFILE_DIR:-target/debug}
if [ "$profile_dir" = target/debug ]; then
    cargo build --locked --quiet
fi

# First of 40 ports that are used; pick another one when they are taken.
base=${BASE_PORT:-7400}
work=$(mktemp -d)
pids=()

stop_all() {
    local pid
    # The programs stop in the reverse order of their start, so that no program
    # loses what it depends on while it finishes requests.
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        pid=${pids[$i]}
        kill -s TERM "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    pids=()
    rm -rf "$work"
}
trap stop_all EXIT

say() { printf '\n== %s\n' "$*"; }

start() { # program name: settings on standard input
    local program=$1 name=$2
    cat > "$work/$name.json"
    "$profile_dir/$program" --settings "$work/$name.json" --check-settings > /dev/null
    "$profile_dir/$program" --settings "$work/$name.json" > "$work/$name.log" 2>&1 &
    pids+=($!)
    printf '   %-12s pid %s\n' "$name" "$!"
}

log='"log": {"format": "json", "level": "info"}'
platform="127.0.0.1:$base"
target_address() { echo "127.0.0.1:$((base + 10 + $1))"; }
agent_address() { echo "127.0.0.1:$((base + 17 + $1 * 3 + $2))"; } # number offset
entry_address() { echo "127.0.0.1:$((base + $1 * 3 + $2))"; }       # number offset

say "starting the object API, 3 engines and 1 plain service, an agent beside each, 2 entries"
start yuccalatch-standin platform <<JSON
{"kind": "platform", "address": "$platform", $log}
JSON
agents=()
for n in 1 2 3 4; do
    if [ "$n" = 4 ]; then kind=plain; role=plain; else kind=engine; role=model; fi
    start yuccalatch-standin "$kind-$n" <<JSON
{"kind": "$kind", "address": "$(target_address "$n")", $log}
JSON
    start yuccalatch-agent "agent-$n" <<JSON
{
  "name": "$kind-$n", "data_centre": "a",
  "data_address": "$(agent_address "$n" 0)",
  "control_address": "$(agent_address "$n" 1)",
  "admin_address": "$(agent_address "$n" 2)",
  "target_address": "$(target_address "$n")", "target_kind": "$role", "checks_fencing": false,
  "platform_address": "$platform", $log
}
JSON
    agents+=("\"$(agent_address "$n" 1)\"")
done
peers=$(IFS=,; echo "${agents[*]}")
for n in 1 2; do
    start yuccalatch-entry "entry-$n" <<JSON
{
  "name": "entry-$n", "data_centre": "a",
  "caller_address": "$(entry_address "$n" 0)",
  "control_address": "$(entry_address "$n" 1)",
  "admin_address": "$(entry_address "$n" 2)",
  "platform_address": "$platform",
  "peers": [$peers, "$(entry_address $((3 - n)) 1)"], $log
}
JSON
done

say "the first ticket creates an organisation, its key, two services, routes and targets"
key="sk-quickstart"
digest=$(printf '%s' "$key" | "$profile_dir/yuccalatchctl" key digest)
{
    cat <<JSON
{
  // Numbers only grow; every object is given as a whole.
  "ticket": 1, "author": "quickstart", "comment": "first configuration",
  "set": [
    {"organisation": {"name": "mill-a", "rate_tokens_per_s": 20000, "burst_tokens": 100000, "weight": 1}},
    {"key": {"name": "mill-a-1", "organisation": "mill-a", "digest": "$digest"}},
    {"service": {"name": "draft", "kind": "model", "model": "oak", "block_tokens": 1000, "parallel_loads": 2, "load_ms": 500}},
    {"service": {"name": "files", "kind": "plain", "block_tokens": 0, "parallel_loads": 1, "load_ms": 0}},
    {"version": {"name": "v1", "service": "draft", "weights": "oak/1"}},
    {"version": {"name": "files-1", "service": "files", "weights": "release-1"}},
JSON
    for n in 1 2 3 4; do
        if [ "$n" = 4 ]; then kind=plain; service=files; version=files-1
        else kind=engine; service=draft; version=v1; fi
        cat <<JSON
    {"target": {"name": "$kind-$n", "service": "$service", "data_centre": "a", "version": "$version",
      "address": "$(agent_address "$n" 0)", "control_address": "$(agent_address "$n" 1)"}},
JSON
    done
    cat <<JSON
    {"route": {"name": "chat", "path_prefix": "/v1/chat/completions", "methods": ["POST"], "model": "oak",
      "service": "draft", "access": "keyed", "idempotent": true, "timeout_ms": 30000}},
    {"route": {"name": "files", "path_prefix": "/files", "methods": ["GET"], "service": "files",
      "access": "public", "idempotent": true, "timeout_ms": 5000}}
  ],
  "remove": []
}
JSON
} > "$work/ticket.json"
"$profile_dir/yuccalatchctl" --platform "$platform" ticket check "$work/ticket.json"
"$profile_dir/yuccalatchctl" --platform "$platform" ticket submit "$work/ticket.json"

say "waiting until both entries are ready"
for n in 1 2; do
    for _ in $(seq 200); do
        curl -fs "http://$(entry_address "$n" 2)/readyz" > /dev/null && break
        sleep 0.1
    done
    printf '   entry-%s: %s\n' "$n" "$(curl -s "http://$(entry_address "$n" 2)/readyz")"
done

prompt=$(printf 'Compare the oak dowel spec sheet with the quote. %.0s' $(seq 300))
body="{\"model\": \"oak\", \"stream\": true, \"max_tokens\": 8, \"messages\": [{\"role\": \"user\", \"content\": \"$prompt\"}]}"
for n in 1 2; do
    say "streamed prompt, request $n through entry-$n"
    curl -sN -D "$work/head" "http://$(entry_address "$n" 0)/v1/chat/completions" \
        -H "authorization: Bearer $key" -H 'content-type: application/json' -d "$body" \
        | sed -n 's/.*"content":"\([^"]*\)".*/   \1/p; /DONE/s/.*/   [DONE]/p'
    printf '   prompt blocks %s, found in the cache %s\n' \
        "$(awk 'tolower($1) == "x-prompt-blocks:" {print $2 + 0}' "$work/head")" \
        "$(awk 'tolower($1) == "x-matched-blocks:" {print $2 + 0}' "$work/head")"
done

say "a request with an unknown key"
curl -s "http://$(entry_address 1 0)/v1/chat/completions" \
    -H 'authorization: Bearer wrong' -H 'content-type: application/json' -d "$body"
echo

say "a plain public route"
curl -s "http://$(entry_address 1 0)/files/door-17"
echo

say "status"
"$profile_dir/yuccalatchctl" --entry "$(entry_address 1 1)" status || true

if [ "${KEEP:-0}" = 1 ]; then
    say "entries listen on $(entry_address 1 0) and $(entry_address 2 0); key $key; Enter stops"
    read -r _
fi
say "stopping everything"
stop_all
echo "   stopped"
