#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need nothing but Python's standard library.
set -e
cd "$(dirname "$0")"
python3 -m py_compile stand_ins_2/platform_stand_in.py
