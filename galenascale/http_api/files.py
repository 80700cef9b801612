"""`/v1/files`: upload, look up, read and delete files."""

import asyncio

import orjson
from aiohttp import web

from galenascale.errors import UserError
from galenascale.http_api.context import CONTEXT
from galenascale.http_api.limits import check_headers

READ_BYTES = 65536
MAX_FIELD_BYTES = 4096


def authenticate(request):
    """Return (context, tenant) of a request with checked headers."""
    context = request.app[CONTEXT]
    check_headers(request)
    return context, context.tenants.tenant_of(request.headers.get("Authorization"))


def answer(value):
    """Return a JSON answer."""
    return web.Response(body=orjson.dumps(value), content_type="application/json")


def describe_file(created):
    """Return OpenAI's file object for a FileCreated."""
    return {
        "id": created.file_id,
        "object": "file",
        "bytes": created.size_bytes,
        "created_at": created.created_ms // 1000,
        "expires_at": created.expires_ms // 1000,
        "filename": created.filename,
        "purpose": created.purpose,
        "status": "processed",
    }


async def _create(request):
    context, tenant = authenticate(request)
    if not request.content_type.startswith("multipart/"):
        raise UserError("body must be multipart/form-data", param="file")
    try:
        async with asyncio.timeout(context.limits.body_timeout_s):
            purpose, filename, lines = await _read_form(request, context.limits)
    except TimeoutError as error:
        raise UserError(
            "body did not arrive in time", code="body_timeout", http_status=408
        ) from error
    except (ValueError, AssertionError) as error:
        raise UserError(f"form cannot be read: {error}", code="bad_body") from error
    if not purpose:
        raise UserError("purpose is missing", param="purpose")
    if lines is None:
        raise UserError("file is missing", param="file")
    created = await context.files.create(tenant, filename, purpose, _iterate(lines))
    return answer(describe_file(created))


async def _read_form(request, limits):
    purpose, filename, lines = "", "", None
    async for part in await request.multipart():
        if part.name == "purpose":
            purpose = (await part.read(decode=True))[:MAX_FIELD_BYTES].decode()
        elif part.name == "file":
            filename = part.filename or "file"
            lines = await _read_lines(part, limits)
    return purpose, filename, lines


async def _read_lines(part, limits):
    content = bytearray()
    while piece := await part.read_chunk(READ_BYTES):
        content += piece
        if len(content) > limits.max_file_bytes:
            raise UserError(
                f"file has more than {limits.max_file_bytes} bytes",
                code="body_too_large",
                param="file",
                http_status=413,
            )
    return bytes(content).splitlines()


async def _iterate(lines):
    for line in lines:
        yield line


async def _list(request):
    context, tenant = authenticate(request)
    files = await context.files.list(tenant)
    purpose = request.query.get("purpose")
    data = [describe_file(f) for f in files if purpose in (None, f.purpose)]
    return answer({"object": "list", "data": data, "has_more": False})


async def _get(request):
    context, tenant = authenticate(request)
    entry = await context.files.get(tenant, request.match_info["file"])
    return answer(describe_file(entry.created))


async def _delete(request):
    context, tenant = authenticate(request)
    file_id = request.match_info["file"]
    await context.files.delete(tenant, file_id)
    return answer({"id": file_id, "object": "file", "deleted": True})


async def _content(request):
    context, tenant = authenticate(request)
    file_id = request.match_info["file"]
    pieces = await _pieces(context, tenant, file_id)
    response = web.StreamResponse(headers={"Content-Type": "application/jsonl"})
    await response.prepare(request)
    async for piece in pieces:
        await response.write(piece)
    await response.write_eof()
    return response


async def _pieces(context, tenant, file_id):
    """Return the content of an uploaded file or of a job's results."""
    for prefix, failed in (("output-", False), ("errors-", True)):
        if file_id.startswith(prefix):
            job_id = file_id.removeprefix(prefix)
            lines = await context.jobs.results(tenant, job_id, failed)
            return (line + b"\n" async for line in lines)
    return await context.files.content(tenant, file_id)


ROUTES = [
    web.post("/v1/files", _create),
    web.get("/v1/files", _list),
    web.get("/v1/files/{file}", _get),
    web.delete("/v1/files/{file}", _delete),
    web.get("/v1/files/{file}/content", _content),
]
