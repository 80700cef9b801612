"""Ports for the listeners of tests, apart from those of other test runs."""

import contextlib
import fcntl
import functools
import itertools
import os
import socket
import tempfile
from pathlib import Path

# Below the ephemeral port range of outgoing connections.
FIRST_PORT = 10_000
# More than a run uses within the time for which closed connections linger.
PORTS_PER_RUN = 2_800
MAX_RUNS = 8


def claim_block(directory, blocks=MAX_RUNS):
    """
    Return the number of a block of ports that no other process has claimed.

    The claim ends with the process. If all blocks are claimed, processes share
    them by their ids.
    """
    for number in range(blocks):
        file = (Path(directory) / f"galenascale-test-ports-{number}").open("w")
        with contextlib.suppress(BlockingIOError):
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            _claims.append(file)
            return number
        file.close()
    return os.getpid() % blocks


def free_port(kind=socket.SOCK_STREAM):
    """Return a port that is free on all addresses."""
    for port in _ports():
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("0.0.0.0", port))
            except OSError:
                continue
            return port
    raise AssertionError("no free port")


@functools.cache
def _ports():
    """Return the endless iterator over the ports of this process."""
    first = FIRST_PORT + claim_block(tempfile.gettempdir()) * PORTS_PER_RUN
    return itertools.cycle(range(first, first + PORTS_PER_RUN))


# Open files whose locks are this process's claims.
_claims = []
