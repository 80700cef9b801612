"""Client of the operators' routes on an entry host."""

import asyncio

import aiohttp
import orjson

from galenascale.errors import GalenascaleError, PeerError, UserError
from galenascale.store import StoreOutcomeUnknown

TIMEOUT_S = 20.0
# Sendings of one change; the host recognizes the second by the change id.
MAX_SENDINGS = 3
CONFLICT_STATUS = 409


def call(url, key, path, body=None):
    """Return (HTTP status, JSON value) of one operator call."""
    return asyncio.run(_call(url, key, path, body))


async def _call(url, key, path, body):
    method = "GET" if body is None else "POST"
    data = None if body is None else orjson.dumps(body)
    try:
        async with (
            aiohttp.ClientSession(
                headers={"Authorization": f"Bearer {key}"},
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            ) as session,
            session.request(method, url.rstrip("/") + path, data=data) as response,
        ):
            value = orjson.loads(await response.read())
            return _checked(url, response.status, value)
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
        raise PeerError(f"{url}: host cannot be reached", step="call") from error
    except (TimeoutError, aiohttp.ClientError, orjson.JSONDecodeError) as error:
        raise StoreOutcomeUnknown(
            f"{url}: no answer: {error!r}", step="call"
        ) from error


def _checked(url, status, value):
    if not isinstance(value, dict):
        raise PeerError(f"{url}: answer is no JSON object", step="call")
    if status < 400 or status == CONFLICT_STATUS:
        return status, value
    error = value.get("error")
    error = error if isinstance(error, dict) else {}
    message = f"{url}: {error.get('message', f'HTTP status {status}')}"
    if error.get("code") == StoreOutcomeUnknown.code:
        raise StoreOutcomeUnknown(message, step="call")
    if status < 500:
        raise UserError(message, step="call")
    raise PeerError(message, step="call")


def post_change(url, key, body):
    """
    Send a change until its outcome is known; return (status, JSON value).

    Raise StoreOutcomeUnknown if it stays unknown. Once one sending had no
    known outcome, a later refusal says nothing about that first one.
    """
    unknown = None
    for _ in range(MAX_SENDINGS):
        try:
            return call(url, key, "/operator/v1/config", body)
        except StoreOutcomeUnknown as error:
            unknown = error
        except GalenascaleError:
            if unknown is None:
                raise
    raise unknown
