"""`galenascale gateway`: wrong settings and signals at the start."""

import json
import signal
import subprocess
import sys
import time

import pytest

from test.gateway.fleet import free_port

SETTINGS = {
    "schema_version": 1,
    "host_id": "h1",
    "failure_domain": "a",
    "caller_listen": "127.0.0.1:1",
    "ready_listen": "127.0.0.1:2",
    "peer_listen": "127.0.0.1:3",
    "peer_datagram_port": 4,
    "store": {"address": "127.0.0.1:5"},
}
START_S = 20


def run_gateway(path, **fields):
    """Start the command with a settings file."""
    command = [sys.executable, "-m", "galenascale", "gateway", "--settings", str(path)]
    return subprocess.Popen(command, text=True, **fields)


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"host_id": 7}, "$.host_id"),
        ({"store": {"partitions": "many"}}, "$.store.partitions"),
        ({"unknown": 1}, "$.unknown"),
        ({"caller_listen": "nowhere"}, "$.caller_listen"),
        ({"peer_datagram_port": 0}, "$.peer_datagram_port"),
        ({"log_level": "loud"}, "$.log_level"),
        ({"store": {"address": "1.2.3.4:5", "retention_s": 60.0}}, "$.store.retention"),
    ],
)
def test_wrong_settings_end_with_one_line_that_names_the_key(tmp_path, change, named):
    """Guards operators against a traceback, hosts against wrong settings."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS | change))
    process = run_gateway(path, stderr=subprocess.PIPE)
    error = process.communicate(timeout=START_S)[1]
    assert process.returncode == 2
    assert error.count("\n") == 1
    assert named in error


def test_hang_up_does_not_end_a_host_that_starts(tmp_path):
    """
    Guards hosts against a change of the settings while they start.

    Found by a seed of the soak.
    """
    ports = [free_port() for _ in range(4)]
    names = ("caller_listen", "ready_listen", "peer_listen")
    settings = SETTINGS | {
        name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=False)
    }
    settings["peer_datagram_port"] = ports[3]
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    process = run_gateway(path, stdout=subprocess.PIPE)
    try:
        # Past the start of the interpreter, before the command's own handler.
        give_up_at = time.monotonic() + START_S
        while not ignores_hang_up(process.pid):
            assert time.monotonic() < give_up_at
        process.send_signal(signal.SIGHUP)
        assert '"event":"start"' in process.stdout.readline()
    finally:
        process.kill()
        process.communicate()


def ignores_hang_up(pid):
    """Return True if a process does not end by SIGHUP."""
    with open(f"/proc/{pid}/status") as file:
        masks = [line for line in file if line.startswith(("SigIgn", "SigCgt"))]
    return any(int(line.split()[1], 16) & 1 for line in masks)
