#!/usr/bin/env bash
# Checks that the stand-ins of the scripts compile; they need nothing but Python's own library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins_3 11/case.py 12/case.py 13/case.py
