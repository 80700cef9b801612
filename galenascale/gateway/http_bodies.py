"""Bodies of HTTP answers that are read whole, up to a limit."""

import aiohttp


class BodyTooLarge(aiohttp.ClientPayloadError):
    """An answer has more bytes than its reader expects at most."""


async def read_limited_body(response, limit):
    """
    Return the body of an answer.

    Raise BodyTooLarge, and close the connection, beyond `limit` bytes.
    """
    pieces = []
    size = 0
    async for piece in response.content.iter_any():
        size += len(piece)
        if size > limit:
            response.close()
            raise BodyTooLarge(f"answer has more than {limit} bytes")
        pieces.append(piece)
    return b"".join(pieces)
