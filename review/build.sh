#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the gateways: the
# stand-ins, which need the libraries that the build of the deploy file installs.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:review/common:."
python3 -m compileall -q review/common galenascale/standins
python3 -c "import deployment, runner, http1, record"
