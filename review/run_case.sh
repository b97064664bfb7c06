#!/usr/bin/env sh
# Runs the script case.py of a folder; its exit code is 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
set -u
case_dir=$1
cd "$(dirname "$0")/.."
if [ ! -d target/deps/savorylead_daemon ] || [ ! -d target/review ]; then
    echo "run deploy/build.sh and review/build.sh first" >&2
    exit 2
fi
PYTHONPATH="target/deps:target/review:review/lib" PYTHONDONTWRITEBYTECODE=1 \
    timeout --kill-after=5 115 python3 "review/$case_dir/case.py"
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
