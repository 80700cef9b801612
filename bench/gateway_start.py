"""Processor time and memory of a gateway host from its start to listening."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import attrs

RUNS = 5
# Goals of the move to the users' platform.
GOAL_CPU_S = 0.5
GOAL_RESIDENT_MB = 60
GIVE_UP_S = 20
PORTS = {"caller_listen": 19144, "ready_listen": 19140, "peer_listen": 19146}


@attrs.frozen
class Start:
    """What one start took."""

    cpu_s: float
    resident_mb: float


def settings():
    """Return the settings of a host without a store."""
    addresses = {name: f"127.0.0.1:{port}" for name, port in PORTS.items()}
    return {
        "schema_version": 1,
        "host_id": "bench",
        "failure_domain": "a",
        "peer_datagram_port": 19660,
        "metrics_port": 19464,
        "store": {"address": "127.0.0.1:19142"},
        **addresses,
    }


def listens(port):
    """Return True if a connection is accepted."""
    try:
        socket.create_connection(("127.0.0.1", port), timeout=0.1).close()
    except OSError:
        return False
    return True


def usage(pid):
    """Return the Start that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    page_mb = os.sysconf("SC_PAGE_SIZE") / 1e6
    return Start(ticks / os.sysconf("SC_CLK_TCK"), pages * page_mb)


def measure(path):
    """Start a host, wait until it listens and return its Start."""
    command = [sys.executable, "-m", "galenascale", "gateway", "--settings", path]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
    try:
        give_up_at = time.monotonic() + GIVE_UP_S
        while not listens(PORTS["caller_listen"]):
            if time.monotonic() > give_up_at:
                raise RuntimeError("the host does not listen")
            time.sleep(0.01)
        return usage(process.pid)
    finally:
        process.kill()
        process.wait()


def main():
    """Print the median of some starts; exit with 1 above a goal."""
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(settings(), file)
        file.flush()
        starts = [measure(file.name) for _ in range(RUNS)]
    cpu_s = sorted(start.cpu_s for start in starts)[RUNS // 2]
    resident_mb = sorted(start.resident_mb for start in starts)[RUNS // 2]
    print(f"cpu_s={cpu_s:.2f} goal={GOAL_CPU_S}")
    print(f"resident_mb={resident_mb:.1f} goal={GOAL_RESIDENT_MB}")
    sys.exit(cpu_s > GOAL_CPU_S or resident_mb > GOAL_RESIDENT_MB)


if __name__ == "__main__":
    main()
