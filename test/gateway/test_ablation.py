"""Ablations: gateways that run without one of their mechanisms."""

import subprocess
import sys
from pathlib import Path

import pytest

from bench.ablation import DEPLOY_FILE, SWITCHES_BY_NAME, prepare
from galenascale.errors import UserError

ROOT = Path(__file__).resolve().parent.parent.parent


@pytest.mark.parametrize("name", SWITCHES_BY_NAME)
def test_switch_leaves_a_gateway_that_starts(name):
    """Guards against a switch that replaces a name that no longer exists."""
    done = subprocess.run(
        [sys.executable, "-m", "bench.ablation", "run", name, "gateway", "--help"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stderr
    assert "--settings" in done.stdout


def test_prepared_checkout_starts_its_gateways_so(tmp_path):
    """Guards against an ablation that measures the unchanged program."""
    target = tmp_path / DEPLOY_FILE
    target.parent.mkdir()
    target.write_text((ROOT / DEPLOY_FILE).read_text())
    prepare("quality", tmp_path)
    assert "python3 -m bench.ablation run quality gateway" in target.read_text()
    with pytest.raises(UserError):
        prepare("quality", tmp_path)
