#!/usr/bin/env sh
exec sh "$(dirname "$0")/../run_case.sh" 5
