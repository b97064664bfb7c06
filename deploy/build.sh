#!/usr/bin/env sh
# Puts savoryleadd, its libraries and the platform's adapter into target/deps.
#
# The packages are gathered in a folder aside, which then takes the place of target/deps,
# since daemons may start meanwhile. Nothing is done if target/deps is up to date.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
sources="packages/savorylead packages/savorylead-daemon platform"
# Releases of Python that may start a daemon, which need not be that of the build.
pythons="3.11 3.12 3.13 3.14"

# What the libraries depend on: the interpreter, the machine and the lists of releases.
library_inputs=$({
    python3 -c 'from importlib.machinery import EXTENSION_SUFFIXES as names; print(names)'
    cat constraints.txt deploy/requirements.txt deploy/build.sh
} | cksum)
inputs=$({
    echo "$library_inputs"
    # The folders have no blanks in their names.
    # shellcheck disable=SC2086
    find $sources \( -name '*.py' -o -name pyproject.toml \) -exec cksum {} + | sort
} | cksum)
if [ "$(cat "$deps/.inputs" 2>/dev/null || true)" = "$inputs" ]; then
    exit 0
fi

mkdir -p target
work=$(mktemp -d "$PWD/target/build.XXXXXX")
trap 'rm -rf "$work"' EXIT
new=$work/deps

# Adds the compiled modules that libraries have for another release of Python.
add_compiled_modules() {
    libraries=$(grep -l '\.so,' "$new"/*.dist-info/RECORD |
        sed 's|.*/\(.*\)-\(.*\)\.dist-info/RECORD|\1==\2|')
    # The folder names are those of libraries and have no blanks.
    # shellcheck disable=SC2086
    python3 -m pip install -q --no-compile --no-deps --target "$work/$1" \
        --python-version "$1" --implementation cp --only-binary=:all: $libraries || return
    (cd "$work/$1" && find . -name '*.so') | while read -r module; do
        cp "$work/$1/$module" "$new/$module"
    done
}

if [ "$(cat "$deps/.library-inputs" 2>/dev/null || true)" = "$library_inputs" ]; then
    cp -R "$deps" "$new"
    rm -f "$new"/savorylead-bundle.txt "$new"/.inputs
else
    python3 -m pip install -q --no-compile --target "$new" -c constraints.txt \
        -r deploy/requirements.txt
    for release in $pythons; do
        add_compiled_modules "$release" ||
            echo "deploy/build.sh: no compiled modules for Python $release" >&2
    done
    echo "$library_inputs" >"$new/.library-inputs"
fi
for source in $sources; do
    # Built from a copy, so that no build folder appears beside the source.
    cp -R "$source" "$work/"
done
python3 -m pip install -q -U --no-compile --no-deps --target "$new" \
    "$work/savorylead" "$work/savorylead-daemon" "$work/platform"
echo "$inputs" >"$new/.inputs"
PYTHONPATH=$new python3 -m savorylead_daemon.seal_bundle --install "$deps" \
    savorylead_platform
