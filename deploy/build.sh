#!/usr/bin/env sh
# Puts savoryleadd, its libraries and the platform's adapter into target/deps.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
# Libraries are installed again for another interpreter, machine or list of releases.
inputs=$({
    python3 -c 'from importlib.machinery import EXTENSION_SUFFIXES as names; print(names)'
    cat constraints.txt deploy/requirements.txt
} | cksum)
if [ "$(cat "$deps/.installed" 2>/dev/null || true)" != "$inputs" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --no-compile --target "$deps" -c constraints.txt \
        -r deploy/requirements.txt
    echo "$inputs" >"$deps/.installed"
fi
rm -f "$deps"/savorylead-bundle.txt
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for source in packages/savorylead packages/savorylead-daemon platform; do
    # Built from a copy, so that no build folder appears beside the source.
    cp -R "$source" "$work/"
done
python3 -m pip install -q -U --no-compile --no-deps --target "$deps" \
    "$work/savorylead" "$work/savorylead-daemon" "$work/platform"
PYTHONPATH=$deps python3 -m savorylead_daemon.seal_bundle savorylead_platform
