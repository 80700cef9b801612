"""Responses of a stand-in that do not end."""

import attrs

# Limit of an endless response, and the size of each of its writes.
MAX_ENDLESS_BYTES = 48 << 20
ENDLESS_WRITE_BYTES = 1 << 16


@attrs.frozen
class EndlessResponse:
    """Response that repeats a byte pattern without end."""

    # Bytes sent first; @ID is replaced by the id of the request.
    first: bytes
    # Pattern that is repeated until the connection closes.
    then: bytes


async def send_endless_response(source, request_id, writer):
    """
    Send an EndlessResponse until the client closes the connection.

    Return False if the client still reads after MAX_ENDLESS_BYTES.
    """
    writer.write(source.first.replace(b"@ID", request_id.encode()))
    pattern = source.then * (ENDLESS_WRITE_BYTES // len(source.then))
    for _ in range(MAX_ENDLESS_BYTES // len(pattern)):
        try:
            writer.write(pattern)
            await writer.drain()
        except ConnectionError:
            return True
    return False
