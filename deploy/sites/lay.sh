#!/usr/bin/env bash
# Lays the platform's own files beside the site files here, so that the bench can play them:
#
#     deploy/sites/lay.sh ../given/kit/sites
#
# They are the platform's, not ours: .gitignore keeps them out of the repository. `--remove` takes them away.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
files=(real.json wire.json unlock.txt)
if [ "${1:-}" = --remove ]; then
    for file in "${files[@]}"; do rm -f "$here/$file"; done
    exit 0
fi
from=${1:?"usage: deploy/sites/lay.sh FOLDER | --remove; FOLDER holds ${files[*]}"}
for file in "${files[@]}"; do
    install -m 644 "$from/$file" "$here/$file"
done
