"""`galenascale gateway`: invalid settings, and signals during startup."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from test.gateway.ports import free_port

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
# Seconds in which the command must start or fail.
START_TIMEOUT_S = 20


def start_command(path, **fields):
    """Start `galenascale gateway` with a settings file."""
    command = [sys.executable, "-m", "galenascale", "gateway", "--settings", str(path)]
    return subprocess.Popen(command, text=True, **fields)


def start_as_platform(path, **fields):
    """Start the same host as the platform does."""
    command = [sys.executable, "-m", "galenascale.platform"]
    environment = os.environ | {"GALENASCALE_NODE_FILE": str(path)}
    return subprocess.Popen(command, text=True, env=environment, **fields)


WAYS_TO_START = pytest.mark.parametrize("start", [start_command, start_as_platform])


@WAYS_TO_START
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
def test_invalid_settings_print_one_line_that_names_the_key(
    tmp_path, start, change, named
):
    """Guards against tracebacks and against starting with bad settings."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS | change))
    process = start(path, stderr=subprocess.PIPE)
    error = process.communicate(timeout=START_TIMEOUT_S)[1]
    assert process.returncode == 2
    assert error.count("\n") == 1
    assert named in error


@WAYS_TO_START
def test_sighup_does_not_end_a_starting_host(tmp_path, start):
    """
    Guards hosts against SIGHUP on a settings change while they start.

    The soak test found that the default action of SIGHUP ended the process.
    """
    ports = [free_port() for _ in range(4)]
    names = ("caller_listen", "ready_listen", "peer_listen")
    settings = SETTINGS | {
        name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=False)
    }
    settings["peer_datagram_port"] = ports[3]
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    process = start(path, stdout=subprocess.PIPE)
    try:
        # After the interpreter has started, before the command installs its
        # own handler.
        deadline = time.monotonic() + START_TIMEOUT_S
        while not survives_sighup(process.pid):
            assert time.monotonic() < deadline
        process.send_signal(signal.SIGHUP)
        assert '"event":"start"' in process.stdout.readline()
    finally:
        process.kill()
        process.communicate()


def survives_sighup(pid):
    """Return True if a process ignores or handles SIGHUP."""
    with open(f"/proc/{pid}/status") as file:
        masks = [line for line in file if line.startswith(("SigIgn", "SigCgt"))]
    return any(int(line.split()[1], 16) & 1 for line in masks)


def test_platform_starts_a_host_without_the_command_line():
    """
    Guards the time for which callers wait after a loss of power.

    The modules of the command line take a tenth of a host's start.
    """
    code = (
        "import sys, galenascale.platform.__main__, galenascale.gateway.host; "
        "print(*sys.modules)"
    )
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert "galenascale.gateway.host" in run.stdout
    assert "cyclopts" not in run.stdout.split()
