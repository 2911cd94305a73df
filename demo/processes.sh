# Starts processes in the background, waits for them and ends them by their ids.
# To be sourced with `run` set to the directory for logs; keeps `name pid` lines there.
pids=()

start() { # name, command...
    local name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    pids+=($!)
    echo "$name $!" >>"$run/pids"
}

pid_of() { # name
    awk -v name="$1" '$1 == name { print $2 }' "$run/pids"
}

stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

wait_ready() { # address
    for _ in $(seq 100); do
        curl -sf -o /dev/null "http://$1/ready" && return 0
        sleep 0.1
    done
    echo "$1 did not become ready; see $run" >&2
    return 1
}
