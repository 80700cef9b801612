"""Logging set-up: short lines on stderr with a fixed prefix for each part."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from galenascale.errors import UserError

TEXT_FORMAT = "%(asctime)s %(levelname)s %(message)s"


def get_logger(part):
    """Return a logger whose lines begin with the name of the part."""
    return logging.LoggerAdapter(
        logging.getLogger(f"galenascale.{part}"), {"part": part}
    )


class _TextFormatter(logging.Formatter):
    def formatMessage(self, record):
        part = getattr(record, "part", record.name)
        record.message = f"{part}: {record.message}"
        return super().formatMessage(record)


def setup_logging(level="info", log_format="text", stream=None):
    """Send the logs to a stream, stderr by default, as text or JSON."""
    number = logging.getLevelName(level.upper())
    if not isinstance(number, int):
        raise UserError(f"log level {level!r} does not exist", step="logging")
    handler = logging.StreamHandler(stream or sys.stderr)
    if log_format == "json":
        handler.setFormatter(
            JsonFormatter(
                "%(asctime)s %(levelname)s %(message)s",
                rename_fields={"asctime": "time", "levelname": "level"},
            )
        )
    else:
        handler.setFormatter(_TextFormatter(TEXT_FORMAT))
    root = logging.getLogger("galenascale")
    root.handlers[:] = [handler]
    root.setLevel(number)
    root.propagate = False
