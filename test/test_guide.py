"""The commands of docs/guide.md run as they are written."""

import json
import os
import re
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from galenascale.embedded import free_ports

ROOT = Path(__file__).resolve().parent.parent
GUIDE = ROOT / "docs" / "guide.md"
TIMEOUT_S = 120
# Stops the processes of the page also when one of its commands fails.
PROLOGUE = "set -eo pipefail\ntrap 'kill $(jobs -p) 2> trap.log || true' EXIT\n"


def read_script():
    """Return the page's commands, with free ports in place of its ports."""
    blocks = re.findall(r"^```sh\n(.*?)^```", GUIDE.read_text(), re.M | re.S)
    script = "\n".join(blocks)
    ports = sorted(set(re.findall(r"\b94\d\d\b", script)))
    for port, free in zip(ports, free_ports(len(ports)), strict=True):
        script = re.sub(rf"\b{port}\b", str(free), script)
    return PROLOGUE + script


@pytest.mark.skipif(shutil.which("curl") is None, reason="curl is missing")
def test_commands_of_the_guide(tmp_path):
    """Guards newcomers against a page whose commands do not work."""
    command = tmp_path / "bin" / "galenascale"
    command.parent.mkdir()
    command.write_text(f'#!/bin/sh\nexec {sys.executable} -m galenascale "$@"\n')
    command.chmod(0o755)
    work = tmp_path / "work"
    work.mkdir()
    environment = os.environ | {
        "PATH": f"{command.parent}:{os.environ['PATH']}",
        "PYTHONPATH": str(ROOT),
    }
    shown = subprocess.run(
        ["bash", "-c", read_script()],
        cwd=work,
        env=environment,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    logs = "".join(path.read_text() for path in work.glob("*.log"))
    assert shown.returncode == 0, shown.stdout + shown.stderr + logs
    for text in (
        "host-a.json: settings are valid",
        "+ backend_server/booking-1",
        "accepted as version 0",
        "seen by host-b in zone-b",
        "data: [DONE]",
        '"status": "completed"',
    ):
        assert text in shown.stdout
    lines = (work / "results.jsonl").read_text().splitlines()
    ids = sorted(json.loads(line)["custom_id"] for line in lines)
    assert ids == [f"q-{number}" for number in range(1, 7)]
    runs = json.loads((work / "runs.json").read_text())
    assert list(runs["by_call_id"].values()) == [1]
    assert list(runs["by_content"].values()) == [1]
