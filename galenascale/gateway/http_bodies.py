"""Reading of whole HTTP response bodies up to a size limit."""

import aiohttp


class BodyTooLarge(aiohttp.ClientPayloadError):
    """The body of a response exceeds the size limit."""


async def read_limited_body(response, limit):
    """
    Return the body of a response.

    Close the connection and raise BodyTooLarge beyond `limit` bytes.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > limit:
            response.close()
            raise BodyTooLarge(f"response body has more than {limit} bytes")
    return bytes(body)
