#!/usr/bin/env bash
# Compiles the stand-ins of the cases, as a check: they need only the standard library and
# run from source. The compiled files go to a temporary folder, so that none stay here.
cd "$(dirname "$0")" || exit 2
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m compileall -q .
