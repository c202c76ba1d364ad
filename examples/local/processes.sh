# Starts the processes of the local example; sourced by the scripts beside it.
#
# Takes ports 7001 to 7016 and 7300 to 7301. The first argument of the script may be a folder of
# built binaries; without it they are built.

here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)

if [ $# -gt 0 ]; then
    bin=$(cd "$1" && pwd)
else
    (cd "$root" && cargo build --workspace --bins --locked --quiet)
    bin=${CARGO_TARGET_DIR:-$root/target}/debug
fi

work=$(mktemp -d)
cd "$work"
pids=()

# Stops all processes gracefully, the youngest first.
stop_all() {
    local i
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill -TERM "${pids[i]}" 2> /dev/null || true
        wait "${pids[i]}" || true
    done
    pids=()
}

cleanup() {
    stop_all
    rm -rf "$work"
}
trap cleanup EXIT

# start NAME COMMAND...: runs a process and waits until it says that it is ready.
start() {
    local name=$1
    shift
    "$@" > "$name.out" &
    pids+=($!)
    for _ in $(seq 300); do
        if grep -q '^ready' "$name.out"; then
            echo "$name: $(grep '^ready' "$name.out")"
            return
        fi
        sleep 0.1
    done
    echo "$name did not become ready" >&2
    exit 1
}

# start_all: the keeper with its contract, two daemons, gasdata beside daemon-2 and techreg beside
# daemon-1. More arguments go to techreg.
start_all() {
    start keeper-1 "$bin/agatehill-keeper" serve "$here/keeper.toml"
    "$bin/agatehill" contract apply "$here/contracts" --keeper 127.0.0.1:7300
    start daemon-1 "$bin/agatehill-daemon" serve "$here/daemon-1.toml"
    start daemon-2 "$bin/agatehill-daemon" serve "$here/daemon-2.toml"
    start gasdata "$bin/agatehill-load" backend --service gasdata --slots 10 --connections 150 \
        --announce 127.0.0.1:7013
    start techreg "$bin/agatehill-load" backend --service techreg --slots 50 --connections 400 \
        --announce 127.0.0.1:7003 "$@"
}
