"""`galenascale batch`: submit, look up, read and cancel batch jobs."""

import asyncio
import sys
import uuid
from pathlib import Path
from typing import Annotated

import aiohttp
import cyclopts
import orjson

from galenascale.errors import GalenascaleError, PeerError, UserError

# Total timeout of one HTTP request.
TIMEOUT_S = 300.0
# Attempts to submit a job if responses are lost; the idempotency key prevents
# duplicate jobs.
MAX_SUBMIT_ATTEMPTS = 3

app = cyclopts.App(name="batch", help="Submit, look up, read and cancel batch jobs.")

HostUrl = Annotated[str, cyclopts.Parameter(help="URL of an entry host.")]
TenantKey = Annotated[
    str, cyclopts.Parameter(help="Key of a tenant.", env_var="GALENASCALE_KEY")
]


@app.command
def submit(
    file: Path,
    *,
    host: HostUrl,
    key: TenantKey,
    window: str = "24h",
    idempotency_key: str = "",
):
    """
    Upload a file of items and create a job from it; print the job.

    Parameters
    ----------
    file
        Items in JSON lines, as in OpenAI's batch format.
    window
        Time in which the job is due, such as 24h or 30m.
    idempotency_key
        Names the submission; a random one by default.
    """
    try:
        content = file.read_bytes()
        endpoint = orjson.loads(content.split(b"\n", 1)[0])["url"]
    except OSError as error:
        raise UserError(f"{file}: {error.strerror}") from error
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise UserError(f"{file}: line 1 names no url") from error
    name = idempotency_key or uuid.uuid4().hex
    _print_json(
        asyncio.run(_submit(host, key, file.name, content, endpoint, window, name))
    )


async def _submit(host, key, filename, content, endpoint, window, name):
    async with _session(key) as session:
        form = aiohttp.FormData({"purpose": "batch"})
        form.add_field("file", content, filename=filename)
        uploaded = await _request_json(session, "POST", f"{host}/v1/files", data=form)
        body = {
            "input_file_id": uploaded["id"],
            "endpoint": endpoint,
            "completion_window": window,
        }
        for attempt in range(MAX_SUBMIT_ATTEMPTS):
            try:
                return await _request_json(
                    session,
                    "POST",
                    f"{host}/v1/batches",
                    json=body,
                    headers={"Idempotency-Key": name},
                )
            except PeerError:
                if attempt + 1 == MAX_SUBMIT_ATTEMPTS:
                    raise
        raise AssertionError("unreachable")


@app.command
def status(job: str, *, host: HostUrl, key: TenantKey):
    """
    Print a job.

    Parameters
    ----------
    job
        Id of the job.
    """
    _print_json(asyncio.run(_call_once(key, "GET", f"{host}/v1/batches/{job}")))


@app.command
def cancel(job: str, *, host: HostUrl, key: TenantKey):
    """
    Cancel a job and print it.

    Parameters
    ----------
    job
        Id of the job.
    """
    _print_json(asyncio.run(_call_once(key, "POST", f"{host}/v1/batches/{job}/cancel")))


@app.command
def results(job: str, *, host: HostUrl, key: TenantKey, errors: bool = False):
    """
    Print the result lines of a job.

    Parameters
    ----------
    job
        Id of the job.
    errors
        Print the lines of items without a successful answer instead.
    """
    prefix = "errors" if errors else "output"
    asyncio.run(_print_response(key, f"{host}/v1/files/{prefix}-{job}/content"))


async def _print_response(key, url):
    async with _session(key) as session:
        try:
            async with session.get(url) as response:
                await _raise_for_status(response)
                async for chunk in response.content.iter_any():
                    sys.stdout.buffer.write(chunk)
        except (TimeoutError, aiohttp.ClientError) as error:
            raise PeerError(f"{url}: {error!r}", step="batch") from error


async def _call_once(key, method, url):
    async with _session(key) as session:
        return await _request_json(session, method, url)


def _session(key):
    return aiohttp.ClientSession(
        headers={"Authorization": f"Bearer {key}"},
        timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
    )


async def _request_json(session, method, url, **kwargs):
    try:
        async with session.request(method, url, **kwargs) as response:
            await _raise_for_status(response)
            return orjson.loads(await response.read())
    except (TimeoutError, aiohttp.ClientError, aiohttp.InvalidURL) as error:
        raise PeerError(f"{url}: {error!r}", step="batch") from error


async def _raise_for_status(response):
    if response.status < 400:
        return
    try:
        error = orjson.loads(await response.read())["error"]
        message = f"{error['message']} ({error['code']}, {error['execution']})"
    except (orjson.JSONDecodeError, KeyError, TypeError):
        message = f"HTTP status {response.status}"
    if response.status < 500:
        raise UserError(message)
    raise GalenascaleError(message)


def _print_json(value):
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
