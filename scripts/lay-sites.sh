#!/usr/bin/env bash
# Lays beside the sites in deploy/sites what the bench looks for there. Takes the folder of a site that has the files; they
# are the bench's own and are not kept here (.gitignore).
set -euo pipefail
from=${1:?the folder with real.json, wire.json and unlock.txt}
to=$(cd "$(dirname "$0")/../deploy/sites" && pwd)
for file in real.json wire.json unlock.txt; do
    [ -f "$from/$file" ] || { echo "$from/$file: not there" >&2; exit 1; }
    install -m 644 "$from/$file" "$to/$file"
done
echo "laid beside $(ls "$to"/*.toml | wc -l) sites"
