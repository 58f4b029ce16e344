# Functions that start and stop the processes of a local run; sourced by other
# scripts, which set base (first port), dir (for logs and settings),
# operator_key, version, and entries (port offsets of the entries).
program=$(basename "$0" .sh)
started=()

# address OFFSET: prints the loopback address of the port at an offset from base.
address() { echo "127.0.0.1:$((base + $1))"; }
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
fail() { echo "$program: $*" >&2; exit 1; }

# start NAME COMMAND...: runs a process in the background with its own log. Job
# control gives it its own process group, so that an interrupt from the terminal
# reaches only this script, which then stops the processes in order.
start() {
  local name=$1
  shift
  set -m
  "$@" >"$dir/$name.log" 2>&1 &
  set +m
  started+=("$!:$name")
}

# stop_all PATTERN: stops the processes whose names match, and waits for them.
stop_all() {
  local each id name
  for each in "${started[@]}"; do
    id=${each%%:*} name=${each#*:}
    [[ $name =~ $1 ]] || continue
    kill -TERM "$id" 2>/dev/null || echo "$program: $name had ended early; see $dir/$name.log" >&2
  done
  for each in "${started[@]}"; do
    id=${each%%:*} name=${each#*:}
    [[ $name =~ $1 ]] || continue
    if ! wait "$id"; then
      echo "$program: $name did not stop cleanly; see $dir/$name.log" >&2
      status=1
    fi
  done
}

# stop: stops all processes and exits. The entries stop before the agents, and
# both before the simulated systems that they depend on.
stop() {
  status=$?
  trap - EXIT INT TERM
  stop_all '^entry-'
  stop_all '^agent-'
  stop_all '^(engine-.*|service|platform)$'
  exit "$status"
}

# wait_ready NAME URL: waits until a health check succeeds.
wait_ready() {
  local i
  for ((i = 0; i < 200; i++)); do
    if curl -fsS -o "$dir/await" --max-time 1 "$2" 2>"$dir/await"; then return; fi
    sleep 0.1
  done
  fail "$1 is not ready: $(cat "$dir/await"); see $dir/$1.log"
}

# peers OFFSET...: prints the link addresses of the entries at these offsets as
# TOML list items.
peers() {
  local offset out=""
  for offset in "$@"; do out+="${out:+, }\"$(address $((offset + 2)))\""; done
  echo "$out"
}

# entry_settings NAME OFFSET PEER-OFFSET DATA-CENTRE: prints the settings of an
# entry; PEER-OFFSET may be empty.
entry_settings() {
  cat <<END
Instance = "$1"
DataCentre = "$4"
Region = "is-south"
Listen = "$(address "$2")"
OperatorListen = "$(address $(($2 + 1)))"
LinkListen = "$(address $(($2 + 2)))"
Advertise = "$(address $(($2 + 2)))"
Platform = "http://$(address 0)"
Peers = [$(peers ${3:+"$3"})]
BalancerLag = "100ms"

[Limits]
FirstToken = "10s"

[OperatorKeyHashes]
example = "$(digest "$operator_key")"
END
}

# agent_settings NAME OFFSET TARGET DATA-CENTRE KIND URL: prints the settings of
# an agent; KIND is Engine or Service.
agent_settings() {
  cat <<END
Instance = "$1"
Target = "$3"
DataCentre = "$4"
Region = "is-south"
LinkListen = "$(address "$2")"
OpsListen = "$(address $(($2 + 1)))"
Advertise = "$(address "$2")"
$5 = "$6"
Platform = "http://$(address 0)"
Peers = [$(peers $entries)]
END
}

# target NAME AGENT-OFFSET DATA-CENTRE REST: prints a Target resource; REST is the
# remaining fields of its spec as JSON.
target() {
  echo '{"Kind": "Target", "Name": "'"$1"'", "Spec": {"DataCentre": "'"$3"'", "Region": "is-south", "Agent": "'"$(address "$2")"'", '"$4"'}}'
}

# stage FROM TO: prints the fields of a target that holds the layers [FROM, TO).
stage() {
  echo '"Version": "'$version'", "Layers": {"From": '"$1"', "To": '"$2"'}, "Accelerator": "fast", "ChecksFencing": true'
}
