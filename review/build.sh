#!/usr/bin/env bash
# Build the stand-ins of the review: plain Python of the standard library, checked by compiling it.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standin review/1 review/2 review/3
