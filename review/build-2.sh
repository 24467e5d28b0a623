#!/usr/bin/env bash
# Build the stand-in of cases 4 to 8. It needs the standard library alone, so it is only compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review/standin_2
