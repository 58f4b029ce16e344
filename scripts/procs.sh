# Functions that start and stop the processes of a local run; sourced by
# scripts. Needed: base (first port), dir, operator_key, version, and entries
# (port offsets of the entries).
program=$(basename "$0" .sh)
started=()

at() { echo "127.0.0.1:$((base + $1))"; }
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
fail() { echo "$program: $*" >&2; exit 1; }

# start NAME COMMAND...: runs a process in the background with a log of its own.
# Job control gives it a process group of its own, so that an interrupt from the
# terminal reaches this script only, which then stops the processes in order.
start() {
  local name=$1
  shift
  set -m
  "$@" >"$dir/$name.log" 2>&1 &
  set +m
  started+=("$!:$name")
}

# stop_all PATTERN: stops the processes whose names match, by their ids.
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

# The entries stop before the agents, and both before what they depend on.
stop() {
  status=$?
  trap - EXIT INT TERM
  stop_all '^entry-'
  stop_all '^agent-'
  stop_all '^(engine-.*|service|platform)$'
  exit "$status"
}
# await NAME URL: waits until a health check succeeds.
await() {
  local i
  for ((i = 0; i < 200; i++)); do
    if curl -fsS -o "$dir/await" --max-time 1 "$2" 2>"$dir/await"; then return; fi
    sleep 0.1
  done
  fail "$1 is not ready: $(cat "$dir/await"); see $dir/$1.log"
}

# peers OFFSET...: lists the addresses for links of entries.
peers() {
  local offset out=""
  for offset in "$@"; do out+="${out:+, }\"$(at $((offset + 2)))\""; done
  echo "$out"
}

entry_settings() { # NAME OFFSET PEER-OFFSET(may be empty) DATA-CENTRE
  cat <<END
Instance = "$1"
DataCentre = "$4"
Region = "is-south"
Listen = "$(at "$2")"
OperatorListen = "$(at $(($2 + 1)))"
LinkListen = "$(at $(($2 + 2)))"
Advertise = "$(at $(($2 + 2)))"
Platform = "http://$(at 0)"
Peers = [$(peers ${3:+"$3"})]
BalancerLag = "100ms"

[Limits]
FirstToken = "10s"

[OperatorKeyHashes]
example = "$(digest "$operator_key")"
END
}

agent_settings() { # NAME OFFSET TARGET DATA-CENTRE KIND URL
  cat <<END
Instance = "$1"
Target = "$3"
DataCentre = "$4"
Region = "is-south"
LinkListen = "$(at "$2")"
OpsListen = "$(at $(($2 + 1)))"
Advertise = "$(at "$2")"
$5 = "$6"
Platform = "http://$(at 0)"
Peers = [$(peers $entries)]
END
}

target() { # NAME AGENT-OFFSET DATA-CENTRE REST
  echo '{"Kind": "Target", "Name": "'"$1"'", "Spec": {"DataCentre": "'"$3"'", "Region": "is-south", "Agent": "'"$(at "$2")"'", '"$4"'}}'
}

stage() { # FROM TO
  echo '"Version": "'$version'", "Layers": {"From": '"$1"', "To": '"$2"'}, "Accelerator": "fast", "ChecksFencing": true'
}
