#!/usr/bin/env bash
# Checks the Promela models under spec/ with Spin. A model must pass a complete
# search. With each of its flags it must violate an assertion: MUTANT_x removes a
# rule of the protocol, and REACH_x asserts that an interesting state is never
# reached. Prints one row per search: verdict, model, flag, states stored,
# seconds.
# Usage: models.sh [FILE]..., all models by default.
set -euo pipefail
cd "$(dirname "$0")/.."
shopt -s nullglob

# verify MODEL FLAG EXPECTED: runs one search and compares its result with
# EXPECTED, which is pass or fail.
verify() {
  local dir got states verdict=FAIL start=$SECONDS
  dir=$(mktemp -d "$work/XXXXXX")
  cp "$1" "$dir/model.pml"
  (
    cd "$dir"
    spin -a ${2:+-D$2} model.pml >spin.log 2>&1 &&
      gcc -O1 -w -DSAFETY -DVECTORSZ=4096 -DMEMLIM=3000 -o pan pan.c >gcc.log 2>&1 &&
      timeout 60 ./pan -m200000 -w24 >pan.log 2>&1
  ) || true
  got=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.log" 2>/dev/null || true)
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.log" 2>/dev/null || true)
  # A truncated search is not evidence of anything.
  if grep -q -e 'max search depth too small' -e 'out of memory' -e 'Search not completed.*too small' "$dir/pan.log" 2>/dev/null; then
    got=truncated
  fi
  case $3 in
    pass) [ "$got" = 0 ] && verdict=ok ;;
    # Only a violated assertion counts; a deadlock does not show that the rule
    # is needed.
    fail) [[ "$got" =~ ^[1-9][0-9]*$ ]] && grep -q 'assertion violated' "$dir/pan.log" && verdict=ok ;;
  esac
  printf '%-4s %-10s %-32s %10s states %3d s\n' "$verdict" "$(basename "$1")" "${2:-correct}" "${states:--}" $((SECONDS - start))
  [ "$verdict" = ok ] || cat "$dir"/*.log 2>/dev/null | sed 's/^/     /' | head -40
  rm -rf "$dir"
}
export -f verify

work=$(mktemp -d)
export work
trap 'rm -rf "$work"' EXIT
models=("$@")
[ ${#models[@]} -gt 0 ] || models=(spec/*.pml)
jobs=()
missing_flags=0
for model in "${models[@]}"; do
  flags=$(sed -n 's/^#ifn\?def \(\(MUTANT\|REACH\)_[A-Z_0-9]*\).*/\1/p' "$model" | sort -u)
  for kind in MUTANT REACH; do
    if ! grep -q "^${kind}_" <<<"$flags"; then
      echo "FAIL $model: no ${kind}_ flag"
      missing_flags=$((missing_flags + 1))
    fi
  done
  jobs+=("$model::pass")
  for flag in $flags; do
    jobs+=("$model:$flag:fail")
  done
done
printf '%s\0' "${jobs[@]}" |
  xargs -0 -P "${JOBS:-4}" -I{} bash -c 'IFS=: read -r m f e <<<"{}"; verify "$m" "$f" "$e" >"$work/$(basename "$m")-$f.out"'
cat "$work"/*.out
passed=$(cat "$work"/*.out | grep -c '^ok ' || true)
failed=$((${#jobs[@]} - passed + missing_flags))
echo "models: $passed passed, $failed failed"
[ "$failed" = 0 ]
