"""Log lines as text and as JSON."""

import io
import json
import logging

import pytest

from galenascale.errors import UserError
from galenascale.logs import get_logger, setup_logging


@pytest.fixture(autouse=True)
def restored():
    """Put the package's logger back after each test."""
    root = logging.getLogger("galenascale")
    kept = root.handlers[:], root.level, root.propagate
    yield
    root.handlers[:], root.level, root.propagate = kept


@pytest.mark.parametrize("log_format", ["text", "json"])
def test_lines_name_their_part(log_format):
    """Guards the fixed prefix of each part and one line for each record."""
    stream = io.StringIO()
    setup_logging("info", log_format, stream)
    get_logger("batch").info("Claimed %d chunks.", 3)
    get_logger("batch").debug("Not shown.")
    (line,) = stream.getvalue().splitlines()
    if log_format == "json":
        record = json.loads(line)
        assert record["part"] == "batch"
        assert record["level"] == "INFO"
        assert record["message"] == "Claimed 3 chunks."
    else:
        assert line.endswith("INFO batch: Claimed 3 chunks.")


def test_unknown_level_is_a_user_error():
    """Guards against a traceback for a mistyped level."""
    with pytest.raises(UserError, match="'loud' does not exist"):
        setup_logging("loud")
