"""Ports of test runs that share a machine."""

import subprocess
import sys

import pytest

PROGRAM = """
import sys
from test.gateway.ports import claim_block
print(claim_block(sys.argv[1], int(sys.argv[2])), flush=True)
sys.stdin.read()
"""


@pytest.mark.parametrize("runs", [2, 5])
def test_runs_side_by_side_claim_different_ports(tmp_path, runs):
    """Guards parallel test runs against "address already in use"."""
    command = [sys.executable, "-c", PROGRAM, str(tmp_path), str(runs)]
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
    processes = [subprocess.Popen(command, **pipes) for _ in range(runs)]
    claimed = {int(process.stdout.readline()) for process in processes}
    assert claimed == set(range(runs))
    # A block is free again after its process has ended.
    processes[0].communicate()
    again = subprocess.run(command, input="", capture_output=True, text=True)
    assert int(again.stdout) in claimed
    for process in processes[1:]:
        process.communicate()
