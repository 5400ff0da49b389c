#!/bin/sh
# Builds the stand-ins, which need only the standard library, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
python3 -m py_compile review/stand_ins/*.py
