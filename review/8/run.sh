#!/bin/sh
# Runs the case; TROUBLE=0 runs it without the disruption. Exit status: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 115 python3 case.py
