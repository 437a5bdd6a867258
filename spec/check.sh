#!/usr/bin/env bash
# Checks every model exhaustively, and then with each of its guards removed: without the
# guard the checker must find a counterexample, which shows that the guard is needed and that
# the properties can fail.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# pan MODEL [MACRO]: searches the model, compiled with the macro, and prints the output.
pan() {
  local model=$1 macro=${2:-} directory
  directory=$work/$model-${macro:-unchanged}
  mkdir -p "$directory"
  (
    cd "$directory"
    spin -a ${macro:+-D"$macro"} "$OLDPWD/$model.pml" >/dev/null
    gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c
    ./pan -m1000000 2>&1
  )
}

# check_holds MODEL [MACRO]: the properties must hold in all states.
check_holds() {
  local model=$1 macro=${2:-} output
  output=$(pan "$model" "$macro")
  if ! grep -q 'errors: 0' <<<"$output" || grep -qE 'max search depth too small|memory limit|out of memory' <<<"$output"; then
    echo "FAIL $model $macro: a property does not hold, or the search was not exhaustive" >&2
    echo "$output" >&2
    exit 1
  fi
  printf 'ok   %-10s %s%s\n' "$model" "${macro:+variant $macro: }" \
    "$(sed -nE 's/.*depth reached ([0-9]+),.*/depth \1,/p; s/^ *([0-9]+) states, stored.*/\1 states,/p; s/^pan: elapsed time ([0-9.]+).*/\1 s/p' <<<"$output" | tr '\n' ' ')"
}

# check_mutation MODEL MACRO: without the guard that MACRO removes, a property must fail.
check_mutation() {
  local model=$1 macro=$2 output
  output=$(pan "$model" "$macro")
  if grep -q 'errors: 0' <<<"$output" || ! grep -q 'errors: ' <<<"$output"; then
    echo "FAIL $model without guard $macro: no counterexample was found, so the model does not show that the guard is needed" >&2
    echo "$output" >&2
    exit 1
  fi
  printf 'ok   %-10s without guard %s: counterexample found\n' "$model" "$macro"
}

# macros FILE HEADING: prints the macros listed under that heading in the comment at the top of
# the model.
macros() {
  sed -n "/^ \\* $2/,/^ \\*\\(\\/\\|\$\\)/p" "$1" | grep -oE '^ \*   [A-Z_]+' | tr -d ' *'
}

# checks: prints all checks, one command per line.
checks() {
  local file model macro
  for file in *.pml; do
    model=${file%.pml}
    echo "check_holds $model"
    for macro in $(macros "$file" Variants); do
      echo "check_holds $model $macro"
    done
    for macro in $(macros "$file" Guards); do
      echo "check_mutation $model $macro"
    done
  done
}

# Runs on half of the cores only, since the largest models take a gigabyte of memory each.
export work
export -f pan check_holds check_mutation
checks | xargs -P "$((($(nproc) + 1) / 2))" -I{} bash -euo pipefail -c '{}'
