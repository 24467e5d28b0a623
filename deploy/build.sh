#!/usr/bin/env bash
# Put the libraries and the program under target/, compiled, since machines start it read-only.
set -euo pipefail
mkdir -p target
if [ ! target/deps.done -nt deploy/requirements.txt ] || [ ! target/deps.done -nt constraints.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps --constraint constraints.txt \
        --requirement deploy/requirements.txt
    touch target/deps.done
fi
rm -rf target/app
mkdir -p target/app
cp -r src/galenastall target/app/
cp deploy/entry_host.py target/app/
python3 -m compileall -q target/app target/deps || true
