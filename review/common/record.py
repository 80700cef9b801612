"""Record of what was sent, answered and run in a case, one JSON line each."""

import json
import time


class Record:
    """Writes lines to record.txt with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)  # noqa: SIM115
        self._began_at = time.monotonic()

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def write(self, what, **fields):
        """Write one line."""
        line = {"t": round(self.now(), 3), "what": what, **fields}
        self._file.write(json.dumps(line, default=str) + "\n")
