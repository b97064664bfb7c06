#!/usr/bin/env sh
# Puts savoryleadd, its libraries and the platform's adapter into target/deps.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
# Releases of Python that may start a daemon, which need not be that of the build.
pythons="3.11 3.12 3.13 3.14"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Adds the compiled modules that libraries in $deps have for another release of Python.
add_compiled_modules() {
    libraries=$(grep -l '\.so,' "$deps"/*.dist-info/RECORD |
        sed 's|.*/\(.*\)-\(.*\)\.dist-info/RECORD|\1==\2|')
    # The folder names are those of libraries and have no blanks.
    # shellcheck disable=SC2086
    python3 -m pip install -q --no-compile --no-deps --target "$work/$1" \
        --python-version "$1" --implementation cp --only-binary=:all: $libraries || return
    (cd "$work/$1" && find . -name '*.so') | while read -r module; do
        cp "$work/$1/$module" "$deps/$module"
    done
}

# Libraries are installed again for another interpreter, machine or list of releases.
inputs=$({
    python3 -c 'from importlib.machinery import EXTENSION_SUFFIXES as names; print(names)'
    cat constraints.txt deploy/requirements.txt
} | cksum)
if [ "$(cat "$deps/.installed" 2>/dev/null || true)" != "$inputs" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --no-compile --target "$deps" -c constraints.txt \
        -r deploy/requirements.txt
    for release in $pythons; do
        add_compiled_modules "$release" ||
            echo "deploy/build.sh: no compiled modules for Python $release" >&2
    done
    echo "$inputs" >"$deps/.installed"
fi
rm -f "$deps"/savorylead-bundle.txt
for source in packages/savorylead packages/savorylead-daemon platform; do
    # Built from a copy, so that no build folder appears beside the source.
    cp -R "$source" "$work/"
done
python3 -m pip install -q -U --no-compile --no-deps --target "$deps" \
    "$work/savorylead" "$work/savorylead-daemon" "$work/platform"
PYTHONPATH=$deps python3 -m savorylead_daemon.seal_bundle savorylead_platform
