#!/usr/bin/env bash
# Builds what the scripts of the second review start: their stand-ins, which need the
# standard library only, and the deploy file's own build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q citronspring review/support_2 review/4 review/5
python3 deploy/bundle.py
