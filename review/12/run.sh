#!/usr/bin/env bash
# Plays the case of claim.txt; 1: the rule was broken, 0: it held, 2: not run.
set -u
cd "$(dirname "$0")/../.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
exec python3 review/12/case.py
