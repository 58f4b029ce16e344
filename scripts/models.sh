#!/usr/bin/env bash
# Checks every Promela model under spec/ with Spin, and that each named mutant fails.
set -euo pipefail
cd "$(dirname "$0")/.."
shopt -s nullglob
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# verify MODEL FLAG: prints the number of errors that the search found.
verify() {
  local dir
  dir=$(mktemp -d "$work/XXXXXX")
  cp spec/*.pml "$dir/"
  (
    cd "$dir"
    spin -a ${2:+-D$2} "$1" >spin.log 2>&1
    gcc -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=4096 -o pan pan.c >gcc.log 2>&1
    ./pan -m200000 -w24 >pan.log 2>&1 || true
    if grep -q 'max search depth too small' pan.log; then echo depth; exit; fi
    sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
  )
}

for model in spec/*.pml; do
  name=$(basename "$model")
  mutants=$(sed -n 's/^#ifn\?def \(MUTANT_[A-Z_0-9]*\).*/\1/p' "$model" | sort -u)
  got=$(verify "$name" "")
  if [ "$got" = 0 ]; then
    echo "ok   $name"
    passed=$((passed + 1))
  else
    echo "FAIL $name: errors: ${got:-none reported}"
    failed=$((failed + 1))
  fi
  if [ -z "$mutants" ]; then
    echo "FAIL $name: no mutants"
    failed=$((failed + 1))
  fi
  for mutant in $mutants; do
    got=$(verify "$name" "$mutant")
    if [[ "$got" =~ ^[1-9][0-9]*$ ]]; then
      echo "ok   $name $mutant is caught"
      passed=$((passed + 1))
    else
      echo "FAIL $name $mutant is not caught: ${got:-none reported}"
      failed=$((failed + 1))
    fi
  done
done
echo "models: $passed passed, $failed failed"
[ "$failed" = 0 ]
