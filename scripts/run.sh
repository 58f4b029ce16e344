#!/usr/bin/env bash
# Starts a local installation on loopback: the simulated platform, engines and
# service, two entries, a pipeline of three agents for one model, and one agent
# for a plain service. Sends one request of each kind, checks the answers, and
# stops everything. With --keep the processes run until the script is interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=${1:-}
base=${SHALLOTCOURSE_PORT:-17400}
dir=run
operator_key=operator-example-key
caller_key=caller-example-key
model=shallot
version=shallot-1
layers=12
prompt="The kiln is booked for"
seed=7
max_tokens=24
entries="10 20"
source scripts/procs.sh

for tool in curl sha256sum sed; do
  command -v "$tool" >/dev/null || fail "missing: $tool"
done

trap stop EXIT
trap 'exit 130' INT TERM

resources() {
  cat <<END
{"Kind": "Model", "Name": "$model", "Spec": {"Version": "$version", "MaxTokens": 4096}}
{"Kind": "ModelVersion", "Name": "$version", "Spec": {"Model": "$model", "Layers": $layers, "Weights": "$version.weights", "WeightBytes": 1000000}}
{"Kind": "Service", "Name": "ledger-app", "Spec": {"Timeout": "5s", "Rules": [{"Method": "GET", "PathPrefix": "/", "Repeatable": true}]}}
$(target shallot-pool-1 40 reykjavik-a "$(stage 0 4)")
$(target shallot-pool-2 50 hafnar-b "$(stage 4 8)")
$(target shallot-pool-3 60 keflavik-c "$(stage 8 12)")
$(target ledger-app-1 70 reykjavik-a '"Service": "ledger-app"')
{"Kind": "ClientAccount", "Name": "example", "Spec": {"KeyHashes": ["$(digest "$caller_key")"], "Weight": 1, "RequestsPerSecond": 100, "Burst": 100, "Concurrency": 50}}
END
}

mkdir -p "$dir"
entry_settings entry-1 10 20 reykjavik-a >"$dir/entry-1.toml"
entry_settings entry-2 20 10 hafnar-b >"$dir/entry-2.toml"
agent_settings agent-1 40 shallot-pool-1 reykjavik-a Engine "http://$(address 1)" >"$dir/agent-1.toml"
agent_settings agent-2 50 shallot-pool-2 hafnar-b Engine "http://$(address 2)" >"$dir/agent-2.toml"
agent_settings agent-3 60 shallot-pool-3 keflavik-c Engine "http://$(address 3)" >"$dir/agent-3.toml"
agent_settings agent-4 70 ledger-app-1 reykjavik-a Service "http://$(address 4)" >"$dir/agent-4.toml"
resources >"$dir/resources.json"
for file in "$dir"/*.toml; do bin/shallotcourse config check "$file"; done

start platform bin/standin platform --listen "$(address 0)"
for i in 1 2 3; do start "engine-$i" bin/standin engine --listen "$(address "$i")"; done
start service bin/standin service --listen "$(address 4)"
wait_ready platform "http://$(address 0)/healthz"
for i in 1 2; do start "entry-$i" bin/shallotcourse entry --config "$dir/entry-$i.toml"; done
for i in 1 2 3 4; do start "agent-$i" bin/shallotcourse agent --config "$dir/agent-$i.toml"; done
for i in 1 2; do wait_ready "entry-$i" "http://$(address $((10 * i + 1)))/readyz"; done
for i in 1 2 3 4; do wait_ready "agent-$i" "http://$(address $((30 + 10 * i + 1)))/readyz"; done

export SHALLOTCOURSE_ENTRIES="http://$(address 11),http://$(address 21)" SHALLOTCOURSE_OPERATOR_KEY=$operator_key
echo "== declaring the resources"
bin/shallotcourse apply -f "$dir/resources.json"

# stream_answer FILE: streams one answer of the model into the file.
stream_answer() {
  curl -sS -N --max-time 30 "http://$(address 10)/v1/completions" -H "Authorization: Bearer $caller_key" \
    -d '{"model": "'$model'", "prompt": "'"$prompt"'", "max_tokens": '$max_tokens', "seed": '$seed', "stream": true}' >"$1"
}

# The agents first load their layers, so the first requests may be refused.
echo "== streaming an answer of the model $model through three targets"
for ((i = 0; i < 100; i++)); do
  stream_answer "$dir/answer"
  if grep -q '^data: \[DONE\]' "$dir/answer"; then break; fi
  sleep 0.1
done
cat "$dir/answer"
answer=$(sed -n 's/^data: .*"text":"\([^"]*\)".*/\1/p' "$dir/answer" | tr -d '\n')
want=$(bin/standin reference --version $version --layers $layers --prompt "$prompt" --max-tokens $max_tokens --seed $seed)
echo "answer:    $answer"
echo "reference: $want"
[ -n "$answer" ] && [ "$answer" = "$want" ] || fail "the answer differs from the reference"

echo "== making a non-idempotent call, twice under one key; it takes effect once"
# book OFFSET: sends the call to the entry at the offset.
book() {
  curl -sS --max-time 10 -X POST "http://$(address "$1")/services/ledger-app/bookings" -H "Authorization: Bearer $caller_key" \
    -H "Idempotency-Key: booking-1" -d '{"Kiln": 3, "Day": "2026-03-01"}'
}
first=$(book 10) second=$(book 20)
echo "first:  $first"
echo "second: $second"
[ -n "$first" ] && [ "$first" = "$second" ] || fail "the two answers differ"
effects=$(curl -sS --max-time 10 "http://$(address 4)/effects")
echo "effects at the service: $effects"
[[ $effects =~ ^\{\"[^\"]*\":1\}$ ]] || fail "the call did not take effect exactly once"

cat <<END
== status
$(bin/shallotcourse status)

== to try more, run "scripts/run.sh --keep" and in another terminal:
curl -N http://$(address 10)/v1/completions -H 'Authorization: Bearer $caller_key' -d '{"model": "$model", "prompt": "Hello", "stream": true}'
curl http://$(address 20)/services/ledger-app/stock -H 'Authorization: Bearer $caller_key'
export SHALLOTCOURSE_ENTRIES=$SHALLOTCOURSE_ENTRIES SHALLOTCOURSE_OPERATOR_KEY=$operator_key
bin/shallotcourse status; bin/shallotcourse get target; bin/shallotcourse drain shallot-pool-2; bin/shallotcourse watch
curl http://$(address 11)/metrics
END

if [ "$keep" = --keep ]; then
  echo "== running until interrupted"
  while sleep 1; do :; done
fi
