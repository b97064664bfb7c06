#!/usr/bin/env sh
# Copies the project's stand-ins, which are plain Python, beside the build of the
# deploy file. Needs no network; run it after deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out"
cp -R packages/savorylead-standins/savorylead_standins "$out/"
cp -R platform/savorylead_platform_standin "$out/"
PYTHONPATH="target/deps:$out:review/lib" python3 -c 'import cell'
echo "the stand-ins are in $out"
