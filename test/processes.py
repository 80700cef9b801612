"""Start of galenascale commands as separate processes on loopback."""

import contextlib
import json
import re
import subprocess
import sys
import threading

START_TIMEOUT_S = 30
MODULE = (sys.executable, "-m", "galenascale")


@contextlib.contextmanager
def running(*arguments, command=MODULE, **options):
    """
    Run a galenascale command; yield the process once it listens.

    `log_lines` of the process holds its log; all of it once it has ended.
    """
    process = subprocess.Popen(
        [*command, *arguments],
        stderr=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        **options,
    )
    process.log_lines = []
    listening = threading.Event()
    reader = threading.Thread(target=_read_log, args=(process, listening))
    reader.start()
    try:
        assert listening.wait(START_TIMEOUT_S) and process.port, process.log_lines
        yield process
    finally:
        process.terminate()
        process.wait(timeout=START_TIMEOUT_S)
        reader.join()
        process.stdout.close()
        process.stderr.close()


def _read_log(process, listening):
    process.port = None
    for line in process.stderr:
        process.log_lines.append(line)
        if match := re.search(r"Listening on port (\d+)", line):
            process.port = int(match[1])
            listening.set()
    listening.set()


def write_json(path, value):
    """Write a JSON file and return its path as a string."""
    path.write_text(json.dumps(value))
    return str(path)
