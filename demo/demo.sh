#!/usr/bin/env bash
# Starts the whole path as separate processes, sends both deployments' requests,
# drains an agent and an entry under load, and ends everything by its id. With
# --keep it only starts the path and leaves it running until Ctrl-C.
set -eu
cd "$(dirname "$0")/.."
python=.venv/bin/python
run=.run/demo
base=${FUCHSIAHATCH_DEMO_PORT:-18000}
rm -rf "$run" && mkdir -p "$run"
. demo/processes.sh

standin="$python -m fuchsiahatch_standins"
$standin layout "$run" --base-port "$base"
start key-value $standin key-value "127.0.0.1:$((base + 300))" \
    --placement "$run/placement.json" --roster "$run/roster.json"
start host-list $standin host-list "127.0.0.1:$((base + 301))" --hosts "$run/hosts.json"
for file in "$run"/engine-*.json "$run"/hold-*.json "$run"/map-*.json; do
    name=$(basename "$file" .json)
    start "upstream-$name" $standin upstream "$file"
    start "$name" .venv/bin/fuchsiahatchd --settings "$file"
done
for file in "$run"/entry-*.json; do
    start "$(basename "$file" .json)" .venv/bin/fuchsiahatchd --settings "$file"
done
for offset in 0 1 2 3 4 5 6 7 8; do wait_ready "127.0.0.1:$((base + offset))"; done
sleep 1.5 # a heartbeat, so that every entry has heard of every agent

if [ "${1:-}" = --keep ]; then
    echo "== ready: ask 127.0.0.1:$base; Ctrl-C ends it"
    trap 'exit 0' INT TERM
    wait
fi

echo "== both deployments' requests"
$python -m fuchsiahatch_standins.demo_calls --entry "127.0.0.1:$base"

echo "== an operator moves a team into schema 2, and asks why requests go where they go"
operate=".venv/bin/fuchsiahatch --entry 127.0.0.1:$base"
$operate apply "$run/change.json" --summary "gym-subang in kl-b only"
$operate apply "$run/change.json" --revision 1 || echo "exit status $?"
$operate explain gym-subang booking-assistant | grep -e host -e reason

echo "== an agent and an entry leave under load"
$python -m fuchsiahatch_standins.demo_calls --entry "127.0.0.1:$((base + 1))" --rounds 20 >"$run/load.txt" &
load=$!
sleep 1
.venv/bin/fuchsiahatch drain "127.0.0.1:$((base + 3))" >/dev/null
.venv/bin/fuchsiahatch drain "127.0.0.1:$base" >/dev/null
leaving=("$(pid_of engine-kl-a)" "$(pid_of entry-kl-a)")
kill -TERM "${leaving[@]}"
wait "${leaving[@]}"
wait "$load"
echo "$(grep -c status=200 "$run/load.txt") of $(wc -l <"$run/load.txt") requests answered"
.venv/bin/fuchsiahatch --entry "127.0.0.1:$((base + 1))" lookup
echo "== done"
