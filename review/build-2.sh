#!/bin/sh
# Builds the stand-ins that the cases of the second review start. They are Python files
# that need the standard library only, so this checks the interpreter and compiles them.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
rm -rf target/review-2
mkdir -p target/review-2
PYTHONPYCACHEPREFIX="$PWD/target/review-2" python3 -m compileall -q \
    $(find review -path 'review/[6-9]/*.py' -o -path 'review/10/*.py')
