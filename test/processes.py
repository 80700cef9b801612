"""Start of galenascale commands as separate processes on loopback."""

import contextlib
import json
import re
import subprocess
import sys
import threading

START_TIMEOUT_S = 30


@contextlib.contextmanager
def running(*arguments):
    """Run a galenascale command; yield the process once it listens."""
    process = subprocess.Popen(
        [sys.executable, "-m", "galenascale", *arguments],
        stderr=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        process.log_lines = []
        process.port = _read_port(process)
        yield process
    finally:
        process.terminate()
        process.wait(timeout=START_TIMEOUT_S)
        process.stdout.close()
        process.stderr.close()


def _read_port(process):
    timer = threading.Timer(START_TIMEOUT_S, process.kill)
    timer.start()
    try:
        lines = process.log_lines
        for line in process.stderr:
            lines.append(line)
            if match := re.search(r"Listening on port (\d+)", line):
                collect = threading.Thread(
                    target=lines.extend, args=(process.stderr,), daemon=True
                )
                collect.start()
                return int(match[1])
        raise AssertionError("".join(lines))
    finally:
        timer.cancel()


def write_json(path, value):
    """Write a JSON file and return its path as a string."""
    path.write_text(json.dumps(value))
    return str(path)
