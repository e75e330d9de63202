#!/bin/sh
# Exits with 1 if a rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the keys in place.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps ] || { echo "target/deps is missing: run sh deploy/build.sh" >&2; exit 2; }
exec python3 case.py
