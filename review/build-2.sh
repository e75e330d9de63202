#!/bin/sh
# Builds the stand-ins of the scripts of the second review: they need the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile fleet_2.py
