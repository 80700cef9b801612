"""Construction of log records from messages."""

import uuid

from galenascale import codec
from galenascale.generated.messages import LogRecord
from galenascale.ledger.apply import RULES

WRITES_SCHEMA_VERSION = 1
KINDS_BY_TYPE = {message_type: kind for kind, (message_type, _) in RULES.items()}


def make_record(message):
    """Return a LogRecord with a fresh id for a message of a known kind."""
    return LogRecord(
        record_id=uuid.uuid4().hex,
        kind=KINDS_BY_TYPE[type(message)],
        schema_version=WRITES_SCHEMA_VERSION,
        body=codec.encode(message),
    )
