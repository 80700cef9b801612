"""Uploaded files, kept as chunks in the log."""

import hashlib

import attrs

from galenascale import codec
from galenascale.batch_lines import BatchFileChecker
from galenascale.errors import Refused, UserError
from galenascale.generated.messages import (
    ChunkRef,
    DataChunk,
    FileCreated,
    FileDeleted,
    LogBatch,
    LogRecord,
    Position,
    RecordKind,
)
from galenascale.hashing import shard_of
from galenascale.shards import make_id, make_record, shard_from_id
from galenascale.shards.bodies import read_body
from galenascale.shards.ids import data_stream
from galenascale.store import STORE_ERRORS, StoreUnavailable

PURPOSES = frozenset({"batch", "user_data"})
APPEND_ATTEMPTS = 5
APPEND_RETRY_S = 0.2
# Files with fewer chunks than this have smaller ones, down to the minimum.
CHUNKS_PER_FILE = 64
MIN_CHUNK_ITEMS = 4


@attrs.define
class _Chunk:
    """Lines that are not appended yet."""

    first_item: int
    lines: list = attrs.field(factory=list)
    size_bytes: int = 0


class FileService:
    """Stores, reads and deletes files of tenants."""

    def __init__(self, shards, log_client, clock, settings):
        self._shards = shards
        self._log_client = log_client
        self._clock = clock
        self._settings = settings

    async def create(self, tenant, filename, purpose, lines):
        """
        Store a file out of an async iterator of lines; return its FileCreated.

        A batch file is checked whole before anything is appended. Raise
        UserError for a bad line and Refused if the log takes no appends.
        """
        if purpose not in PURPOSES:
            raise UserError(f"purpose {purpose!r} is not supported", param="purpose")
        file_id = self._new_id()
        checker = BatchFileChecker(self._settings.limits.max_job_items)
        kept = await _read_lines(lines, checker if purpose == "batch" else None)
        chunks = self._split(kept)
        created = FileCreated(
            file_id=file_id,
            tenant=tenant,
            filename=filename,
            purpose=purpose,
            size_bytes=sum(len(line) + 1 for line in kept),
            digest=hashlib.sha256(b"\n".join(kept)).hexdigest(),
            models=sorted(checker.models),
            endpoints=sorted(checker.endpoints),
            item_count=len(kept),
        )
        try:
            created.chunks = await self._append_chunks(file_id, chunks)
        except STORE_ERRORS as error:
            raise Refused(
                "file cannot be stored now", code="log_unavailable", step="files"
            ) from error
        return await self._record(created)

    def _new_id(self):
        file_id = make_id("file", 0)
        shard = shard_of(file_id, self._shards.count)
        return make_id("file", shard, file_id.rsplit("_", 1)[1])

    def _split(self, lines):
        limits = self._settings.batch
        # A chunk stays with one host, so a small file needs small chunks to
        # spread over all hosts. Chunks share appends, so they cost none.
        fair = max(MIN_CHUNK_ITEMS, -(-len(lines) // CHUNKS_PER_FILE))
        chunk_items = min(limits.chunk_items, fair)
        chunks = [_Chunk(0)]
        for number, line in enumerate(lines):
            chunk = chunks[-1]
            full = len(chunk.lines) >= chunk_items
            if chunk.lines and (
                full or chunk.size_bytes + len(line) > limits.chunk_bytes
            ):
                chunk = _Chunk(number)
                chunks.append(chunk)
            chunk.lines.append(line)
            chunk.size_bytes += len(line) + 1
        return chunks

    async def _append_chunks(self, file_id, chunks):
        """Append the chunks, many at a time, and return their references."""
        refs, group, size = [], [], 0
        for number, chunk in enumerate(chunks):
            if group and size + chunk.size_bytes > self._settings.log.max_append_bytes:
                refs.extend(await self._append_group(file_id, group))
                group, size = [], 0
            group.append((number, chunk))
            size += chunk.size_bytes
        refs.extend(await self._append_group(file_id, group))
        return refs

    async def _append_group(self, file_id, group):
        stream = data_stream(shard_from_id(file_id, self._shards.count))
        records = [
            LogRecord(
                f"{file_id}-{number}",
                RecordKind.DATA_CHUNK,
                1,
                codec.encode(DataChunk(file_id, number, b"\n".join(chunk.lines))),
            )
            for number, chunk in group
        ]
        offset = await self._append(stream, codec.encode(LogBatch(records=records)))
        return [
            ChunkRef(
                Position(stream, offset, index),
                chunk.first_item,
                len(chunk.lines),
                chunk.size_bytes,
            )
            for index, (_, chunk) in enumerate(group)
        ]

    async def _append(self, stream, body):
        """Append with retries; unanswered copies are never referred to."""
        for attempt in range(APPEND_ATTEMPTS):
            try:
                return await self._log_client.append(stream, body)
            except STORE_ERRORS:
                if attempt + 1 == APPEND_ATTEMPTS:
                    raise
                await self._clock.sleep(APPEND_RETRY_S * 2**attempt)
        raise AssertionError("unreachable")

    async def _record(self, created):
        now_ms = self._clock.wall_ms()
        created.created_ms = now_ms
        retention_ms = int(self._settings.batch.result_retention_s * 1000)
        created.expires_ms = now_ms + retention_ms
        shard = shard_from_id(created.file_id, self._shards.count)
        try:
            verdicts = await self._shards.submit(shard, [make_record(created)])
        except StoreUnavailable as error:
            raise Refused(
                "file cannot be stored now", code="log_unavailable", step="files"
            ) from error
        if not verdicts[0].valid:
            raise UserError(f"file was not stored: {verdicts[0].reason}")
        return created

    async def get(self, tenant, file_id):
        """Return the FileEntry; raise UserError 404 if the tenant has none."""
        shard = shard_from_id(file_id, self._shards.count)
        state = await self._shards.view(shard)
        return owned_by(tenant, state.files_by_id.get(file_id), f"file {file_id!r}")

    async def list(self, tenant):
        """Return the tenant's files, the newest first."""
        files = []
        for shard in range(self._shards.count):
            state = await self._shards.view(shard)
            files.extend(
                entry.created
                for entry in state.files_by_id.values()
                if entry.created.tenant == tenant
            )
        return sorted(files, key=lambda created: created.created_ms, reverse=True)

    async def content(self, tenant, file_id):
        """Return an async iterator of pieces of the file's content."""
        entry = await self.get(tenant, file_id)

        async def pieces():
            for position in entry.chunk_positions:
                yield await read_chunk(self._log_client, position) + b"\n"

        return pieces()

    async def delete(self, tenant, file_id):
        """Delete a file; jobs that were made from it keep their input."""
        await self.get(tenant, file_id)
        shard = shard_from_id(file_id, self._shards.count)
        record = make_record(FileDeleted(file_id, tenant))
        await self._shards.submit(shard, [record], urgent=True)


def owned_by(tenant, entry, what):
    """Return an entry of the tenant; raise UserError 404 for any other."""
    if entry is None or entry.created.tenant != tenant:
        raise UserError(f"{what} does not exist", code="not_found", http_status=404)
    return entry


async def _read_lines(lines, checker):
    """Return the lines; those of batch files are checked."""
    kept, number = [], 0
    async for line in lines:
        number += 1
        if checker is not None:
            if not line.strip():
                continue
            checker.check(line, number)
        kept.append(line)
    if not kept:
        raise UserError("file has no lines", param="file")
    return kept


async def read_chunk(log_client, position):
    """Return the lines of an input chunk, joined by newlines."""
    _, body = await read_body(log_client, position)
    return codec.decode(DataChunk, body).content
