#!/usr/bin/env sh
# Checks and compiles the stand-ins of cases 11 and up into target/review-3. They need
# nothing but Python and the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
rm -rf "$out"
mkdir -p "$out"
PYTHONPYCACHEPREFIX="$out/pycache" python3 -m compileall -q review/cell-3
