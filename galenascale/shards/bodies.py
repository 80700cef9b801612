"""Reading of single records back from the log by their position."""

from galenascale import codec
from galenascale.errors import GalenascaleError
from galenascale.generated.messages import Carried, LogBatch, RecordKind


class BodyLost(GalenascaleError):
    """A record body that the log does not hold any more."""

    code = "body_lost"
    http_status = 410


async def read_body(log_client, position):
    """
    Return (schema version, body) of the record at a Position.

    The body of a CARRIED record is the copy that it holds. Raise BodyLost if
    the log has trimmed it and StoreUnavailable if the log does not answer.
    """
    result = await log_client.read(position.stream, position.offset, 1)
    if not result.records or result.records[0][0] != position.offset:
        raise BodyLost(
            f"{position.stream} holds no offset {position.offset}", step="read_body"
        )
    batch = codec.decode(LogBatch, result.records[0][1])
    record = batch.records[position.index]
    if record.kind == RecordKind.CARRIED:
        carried = codec.decode(Carried, record.body)
        return carried.schema_version, carried.body
    return record.schema_version, record.body
