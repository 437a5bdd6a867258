#!/usr/bin/env bash
# Checks every model exhaustively, and shows that each guard is needed: with the
# guard removed, the checker must find a counterexample.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# pan MODEL [MACRO]: runs the checker and prints its output.
pan() {
  local model=$1 macro=${2:-} directory
  directory=$work/$model-${macro:-whole}
  mkdir -p "$directory"
  (
    cd "$directory"
    spin -a ${macro:+-D"$macro"} "$OLDPWD/$model.pml" >/dev/null
    gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c
    ./pan -m1000000 2>&1
  )
}

check_whole() {
  local model=$1 macro=${2:-} output
  output=$(pan "$model" "$macro")
  if ! grep -q 'errors: 0' <<<"$output" || grep -qE 'max search depth too small|memory limit|out of memory' <<<"$output"; then
    echo "FAIL $model $macro: the model does not hold, or was not searched whole" >&2
    echo "$output" >&2
    exit 1
  fi
  printf 'ok   %-10s %s%s\n' "$model" "${macro:+variant $macro: }" \
    "$(sed -nE 's/.*depth reached ([0-9]+),.*/depth \1,/p; s/^ *([0-9]+) states, stored.*/\1 states,/p; s/^pan: elapsed time ([0-9.]+).*/\1 s/p' <<<"$output" | tr '\n' ' ')"
}

check_mutation() {
  local model=$1 macro=$2 output
  output=$(pan "$model" "$macro")
  if grep -q 'errors: 0' <<<"$output" || ! grep -q 'errors: ' <<<"$output"; then
    echo "FAIL $model without guard $macro: no counterexample was found, so the guard proves nothing" >&2
    echo "$output" >&2
    exit 1
  fi
  printf 'ok   %-10s without guard %s: counterexample found\n' "$model" "$macro"
}

# macros FILE HEADING: the macros listed under a heading in the model's head.
macros() {
  sed -n "/^ \\* $2/,/^ \\*\\(\\/\\|\$\\)/p" "$1" | grep -oE '^ \*   [A-Z_]+' | tr -d ' *'
}

# checks lists all checks, a line each.
checks() {
  local file model macro
  for file in *.pml; do
    model=${file%.pml}
    echo "check_whole $model"
    for macro in $(macros "$file" Variants); do
      echo "check_whole $model $macro"
    done
    for macro in $(macros "$file" Guards); do
      echo "check_mutation $model $macro"
    done
  done
}

# Half of the cores, since the largest models take a gigabyte each.
export work
export -f pan check_whole check_mutation
checks | xargs -P "$((($(nproc) + 1) / 2))" -I{} bash -euo pipefail -c '{}'
