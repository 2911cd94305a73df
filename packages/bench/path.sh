#!/usr/bin/env bash
# Starts the path's processes, drives them with the load tool, and ends them by
# their ids.
set -eu
cd "$(dirname "$0")/../.."
python=.venv/bin/python
run=.run/bench-path
base=${FUCHSIAHATCH_BENCH_PORT:-25000}
rm -rf "$run" && mkdir -p "$run"
. demo/processes.sh

standin="$python -m fuchsiahatch_standins"
$python -m fuchsiahatch_bench.path_layout "$run" --base-port "$base"
start key-value $standin key-value "127.0.0.1:$((base + 300))" --placement "$run/placement.json"
start host-list $standin host-list "127.0.0.1:$((base + 301))" --hosts "$run/hosts.json"
for name in engine-kl-a engine-kl-b engine-cj-c map-and-readings-cj-c; do
    start "upstream-$name" $standin upstream "$run/$name.json"
    start "$name" .venv/bin/fuchsiahatchd --settings "$run/$name.json"
done
start entry-kl-a .venv/bin/fuchsiahatchd --settings "$run/entry-kl-a.json"
for offset in 0 3 4 5 8; do wait_ready "127.0.0.1:$((base + offset))"; done
sleep 1.5 # a heartbeat, so that the entry has heard of every agent
$python -m fuchsiahatch_bench.path_bench "$base" "$run/pids"
