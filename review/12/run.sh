#!/usr/bin/env bash
# Plays the case of claim.txt; 1: the rule was broken, 0: it held, 2: not run.
# TROUBLE=0 plays it without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 -c "import galenascale.platform.adapter, review.harness3" || exit 2
exec python3 review/12/case.py
