#!/usr/bin/env bash
# An earlier build of the project beside this one: texts go from old to new and back, under faults. Not part of CI.
#   scripts/beside-old.sh COMMIT [SEED ...]
set -euo pipefail
cd "$(dirname "$0")/.."
commit=${1:?which earlier commit}; shift
seeds=("${@:-1}")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git clone -q . "$work/old"
git -C "$work/old" checkout -q "$commit"
(cd "$work/old" && cargo build -q --release --locked -p indigomast-sender --target-dir "$work/target")
cargo build -q --release --locked
target=$(cargo metadata --format-version 1 --no-deps | sed 's/.*"target_directory":"\([^"]*\)".*/\1/')
for seed in ${seeds[@]}; do
    for scenario in change change-bad; do
        "$target/release/indigomast" lab run "scenarios/$scenario.toml" --stage processes --seed "$seed" \
            --daemon "$work/target/release/indigomastd" --new "$target/release/indigomastd"
    done
done
