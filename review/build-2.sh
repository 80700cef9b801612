#!/bin/bash
# Builds what the scripts of review/6 to review/10 start besides the gateways: all
# stand-ins are Python modules that run with the packages of the deploy file's
# build, so they are only compiled here, to fail early.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/common-2"
export PYTHONDONTWRITEBYTECODE=1
python3 - review/common-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py <<'END'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    if Path(name).exists():
        compile(Path(name).read_text(), name, "exec")
import fleet  # noqa: F401
END
