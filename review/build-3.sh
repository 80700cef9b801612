#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start, after the build of
# the deploy file. The stand-ins are Python modules of this repository, which
# need the same libraries as the gateways, so no network is used.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
mkdir -p target/review-3
for case in review/1[1-5]/case.py review/harness3.py; do
	python3 - "$case" <<-'PYTHON'
		import py_compile
		import sys

		py_compile.compile(
		    sys.argv[1],
		    cfile=f"target/review-3/{sys.argv[1].replace('/', '-')}c",
		    doraise=True,
		)
	PYTHON
done
PYTHONDONTWRITEBYTECODE=1 python3 -c "
import galenascale.platform.adapter
import galenascale.standins.runner
import galenascale.standins.store_api
import review.harness3
"
