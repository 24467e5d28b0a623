#!/usr/bin/env bash
# Builds the stand-ins of cases 9 to 13: plain Python 3.11 without libraries, so they are only compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standin_3
python3 -c "import sys; sys.path.insert(0, 'review'); import standin_3.case, standin_3.idle"
