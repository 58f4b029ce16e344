#!/usr/bin/env bash
# Measures the time and processor time that the router adds to its engines:
# starts the simulated platform and engines, one entry and a pipeline of three
# agents on loopback, runs "lab cost", and stops everything. Arguments are passed
# to "lab cost".
set -euo pipefail
cd "$(dirname "$0")/.."

base=${SHALLOTCOURSE_PORT:-17600}
dir=run/cost
operator_key=operator-example-key
caller_key=caller-example-key
model=shallot
version=shallot-1
layers=12
entries=10
source scripts/procs.sh

for tool in curl sha256sum; do
  command -v "$tool" >/dev/null || fail "missing: $tool"
done
trap stop EXIT
trap 'exit 130' INT TERM

# The limits of the account are above the load, so that no request is queued or
# refused by them.
resources() {
  cat <<END
{"Kind": "Model", "Name": "$model", "Spec": {"Version": "$version", "MaxTokens": 4096}}
{"Kind": "ModelVersion", "Name": "$version", "Spec": {"Model": "$model", "Layers": $layers, "Weights": "$version.weights", "WeightBytes": 1000000}}
$(target shallot-pool-1 40 reykjavik-a "$(stage 0 4)")
$(target shallot-pool-2 50 hafnar-b "$(stage 4 8)")
$(target shallot-pool-3 60 keflavik-c "$(stage 8 12)")
{"Kind": "ClientAccount", "Name": "example", "Spec": {"KeyHashes": ["$(digest "$caller_key")"], "Weight": 1, "RequestsPerSecond": 100000, "Burst": 100000, "Concurrency": 10000}}
END
}

mkdir -p "$dir"
entry_settings entry-1 10 "" reykjavik-a >"$dir/entry-1.toml"
agent_settings agent-1 40 shallot-pool-1 reykjavik-a Engine "http://$(address 1)" >"$dir/agent-1.toml"
agent_settings agent-2 50 shallot-pool-2 hafnar-b Engine "http://$(address 2)" >"$dir/agent-2.toml"
agent_settings agent-3 60 shallot-pool-3 keflavik-c Engine "http://$(address 3)" >"$dir/agent-3.toml"
resources >"$dir/resources.json"

start platform bin/standin platform --listen "$(address 0)"
for i in 1 2 3; do start "engine-$i" bin/standin engine --listen "$(address "$i")" --endless --cost fast=2ms/20us; done
wait_ready platform "http://$(address 0)/healthz"
start entry-1 bin/shallotcourse entry --config "$dir/entry-1.toml"
for i in 1 2 3; do start "agent-$i" bin/shallotcourse agent --config "$dir/agent-$i.toml"; done
wait_ready entry-1 "http://$(address 11)/readyz"
for i in 1 2 3; do wait_ready "agent-$i" "http://$(address $((30 + 10 * i + 1)))/readyz"; done
SHALLOTCOURSE_ENTRIES="http://$(address 11)" SHALLOTCOURSE_OPERATOR_KEY=$operator_key \
  bin/shallotcourse apply -f "$dir/resources.json"

# The agents first load their layers, so the first requests may be refused.
for ((i = 0; i < 100; i++)); do
  if curl -fsS --max-time 30 -o "$dir/answer" "http://$(address 10)/v1/completions" -H "Authorization: Bearer $caller_key" \
    -d '{"model": "'$model'", "prompt": "ready", "max_tokens": 4}' 2>"$dir/await"; then break; fi
  sleep 0.1
done
[ "$i" -lt 100 ] || fail "the model does not answer: $(cat "$dir/await")"

processes=()
for each in "${started[@]}"; do
  case ${each#*:} in entry-* | agent-*) processes+=(--process "${each#*:}=${each%%:*}") ;; esac
done
bin/lab cost --engines "http://$(address 1),http://$(address 2),http://$(address 3)" --entry "http://$(address 10)" --key "$caller_key" \
  --model "$model" "${processes[@]}" "$@"
