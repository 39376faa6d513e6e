# Starts and stops the programs as separate processes. Sourced by the measuring
# scripts, from the root of the repository.

bin=${PROFILE_DIR:-target/release}
work=$(mktemp -d)
pids=()

start() { # program name: settings on standard input
    cat > "$work/$2.json"
    "$bin/$1" --settings "$work/$2.json" > "$work/$2.log" 2>&1 &
    pids+=($!)
}

stop_all() { # signal
    local pid
    for pid in "${pids[@]}"; do
        kill -s "$1" "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    pids=()
}
