"""Batch jobs as callers see them: create, look up, cancel, read results."""

import re

import attrs
import orjson

from galenascale.batch_lines import MODEL_ENDPOINTS, SERVICE_PREFIX
from galenascale.errors import Refused, UserError
from galenascale.files import owned_by
from galenascale.generated.messages import (
    JobCancelled,
    JobCreated,
)
from galenascale.hashing import content_digest, shard_of
from galenascale.job_results import result_lines
from galenascale.ledger import VerdictStatus
from galenascale.model_names import resolve
from galenascale.shards import make_id, make_record, shard_from_id
from galenascale.store import StoreOutcomeUnknown, StoreUnavailable

WINDOW = re.compile(r"(\d{1,4})([smhd])")
WINDOW_UNIT_MS = {"s": 1000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}
MAX_METADATA_PAIRS = 16


@attrs.frozen
class JobRequest:
    """A caller's request for a job, checked in form."""

    input_file_id: str
    endpoint: str
    completion_window: str
    metadata: dict
    idempotency_key: str = ""
    idempotent: bool = True

    @classmethod
    def from_body(cls, body, idempotency_key="", idempotent=True):
        """Return the checked request; raise UserError naming the field."""
        for name in ("input_file_id", "endpoint", "completion_window"):
            if not isinstance(body.get(name), str) or not body[name]:
                raise UserError(f"{name} must be a non-empty string", param=name)
        metadata = body.get("metadata") or {}
        if (
            not isinstance(metadata, dict)
            or len(metadata) > MAX_METADATA_PAIRS
            or not all(isinstance(value, str) for value in metadata.values())
        ):
            raise UserError(
                f"metadata must be at most {MAX_METADATA_PAIRS} strings by name",
                param="metadata",
            )
        window_ms(body["completion_window"])
        return cls(
            body["input_file_id"],
            body["endpoint"],
            body["completion_window"],
            metadata,
            idempotency_key,
            idempotent,
        )


def window_ms(window):
    """Return a completion window such as `24h` in milliseconds."""
    match = WINDOW.fullmatch(window)
    if match is None or int(match[1]) == 0:
        raise UserError(
            "completion_window must be a time such as 24h", param="completion_window"
        )
    return int(match[1]) * WINDOW_UNIT_MS[match[2]]


class JobService:
    """Jobs of all tenants; every answer comes from the log."""

    def __init__(self, shards, log_client, files, config, clock, settings):
        self._shards = shards
        self._log_client = log_client
        self._files = files
        self._config = config
        self._clock = clock
        self._settings = settings
        # Coroutine function called with the id of a cancelled job.
        self.on_cancelled = None
        # Called with the id and the service of an accepted job.
        self.on_accepted = None

    async def create(self, tenant, request):
        """
        Accept a job and return its JobEntry once it is seen in the log.

        The same Idempotency-Key yields the same job. Raise UserError (409) for
        another body under the key and Refused if the log takes no appends.
        """
        file_entry = await self._files.get(tenant, request.input_file_id)
        created = self._describe(tenant, request, file_entry.created)
        created.chunks = [
            attrs.evolve(ref, position=position)
            for ref, position in zip(
                file_entry.created.chunks, file_entry.chunk_positions, strict=True
            )
        ]
        shard = shard_from_id(created.job_id, self._shards.count)
        try:
            verdicts = await self._shards.submit(
                shard, [make_record(created)], urgent=True
            )
        except StoreUnavailable as error:
            raise Refused(
                "job cannot be accepted now", code="log_unavailable", step="jobs"
            ) from error
        try:
            entry = await self._accepted(tenant, verdicts[0])
        except StoreUnavailable as error:
            raise _unread(error) from error
        if self.on_accepted is not None and verdicts[0].valid:
            self.on_accepted(created.job_id, created.service_name)
        return entry

    async def _accepted(self, tenant, verdict):
        if verdict.status == VerdictStatus.CONFLICT:
            raise UserError(
                verdict.reason, code="idempotency_conflict", http_status=409
            )
        if verdict.status not in (VerdictStatus.VALID, VerdictStatus.DUPLICATE):
            raise UserError(f"job was not accepted: {verdict.reason}")
        return await self.get(tenant, verdict.entity_id)

    def _describe(self, tenant, request, file):
        model, service = self._target(request, file)
        key_digest = ""
        if request.idempotency_key:
            key_digest = content_digest(tenant, request.idempotency_key)
        now_ms = self._clock.wall_ms()
        due_ms = now_ms + window_ms(request.completion_window)
        retention_ms = int(self._settings.batch.result_retention_s * 1000)
        return JobCreated(
            job_id=self._new_id(key_digest),
            tenant=tenant,
            key_digest=key_digest,
            body_digest=_body_digest(request, file),
            endpoint=request.endpoint,
            service_name=service,
            model=model,
            input_file_id=request.input_file_id,
            item_count=file.item_count,
            idempotent=request.idempotent and self._may_repeat(request, service),
            created_ms=now_ms,
            due_ms=due_ms,
            expires_ms=due_ms + retention_ms,
            metadata_json=orjson.dumps(request.metadata).decode(),
            completion_window=request.completion_window,
        )

    def _new_id(self, key_digest):
        # All resubmissions with one key meet in one shard, where log order
        # decides which is the first.
        suffix = make_id("batch", 0).rsplit("_", 1)[1]
        shard = shard_of(key_digest or suffix, self._shards.count)
        return make_id("batch", shard, suffix)

    def _target(self, request, file):
        if file.purpose != "batch":
            raise UserError(
                "file has another purpose than batch", param="input_file_id"
            )
        if file.endpoints != [request.endpoint]:
            raise UserError(
                "lines of the file name another endpoint than the job",
                param="endpoint",
            )
        config = self._config.current
        if request.endpoint.startswith(SERVICE_PREFIX):
            service = request.endpoint.split("/")[2]
            if service not in config.services_by_name:
                raise UserError(f"service {service!r} does not exist", param="endpoint")
            return "", service
        if len(file.models) != 1:
            raise UserError(
                "lines of the file name more than one model", param="input_file_id"
            )
        try:
            model = resolve(config, file.models[0]).model
        except UserError as error:
            raise UserError(
                error.message, code=error.code, param="input_file_id"
            ) from error
        return model.name, model.service_name

    def _may_repeat(self, request, service):
        if request.endpoint in MODEL_ENDPOINTS:
            return True
        declared = self._config.current.services_by_name[service]
        path = "/" + "/".join(request.endpoint.split("/")[3:])
        return not path.startswith(tuple(declared.non_idempotent_paths))

    async def get(self, tenant, job_id):
        """Return the JobEntry; raise UserError 404 if the tenant has none."""
        shard = shard_from_id(job_id, self._shards.count)
        state = await self._shards.view(shard)
        return owned_by(tenant, state.jobs_by_id.get(job_id), f"batch {job_id!r}")

    async def list(self, tenant):
        """Return the tenant's JobEntry objects, the newest first."""
        jobs = []
        for shard in range(self._shards.count):
            state = await self._shards.view(shard)
            jobs.extend(
                job for job in state.jobs_by_id.values() if job.created.tenant == tenant
            )
        return sorted(jobs, key=lambda job: job.created.created_ms, reverse=True)

    async def cancel(self, tenant, job_id):
        """Cancel a job unless it ended, and return its entry."""
        await self.get(tenant, job_id)
        shard = shard_from_id(job_id, self._shards.count)
        record = make_record(JobCancelled(job_id, tenant, self._clock.wall_ms()))
        try:
            await self._shards.submit(shard, [record], urgent=True)
        except StoreUnavailable as error:
            raise Refused(
                "job cannot be cancelled now", code="log_unavailable", step="jobs"
            ) from error
        if self.on_cancelled is not None:
            await self.on_cancelled(job_id)
        try:
            return await self.get(tenant, job_id)
        except StoreUnavailable as error:
            raise _unread(error) from error

    async def results(self, tenant, job_id, failed):
        """
        Return an async iterator of result lines, in no particular order.

        With `failed` the lines of items without a successful answer, else the
        lines of those with one. Each item has exactly one line in one of them.
        """
        return result_lines(self._log_client, await self.get(tenant, job_id), failed)


def _unread(error):
    """Return the error for a record that stands while it cannot be read."""
    return StoreOutcomeUnknown(
        f"request was recorded, but its state cannot be read: {error.message}",
        step="jobs",
    )


def _body_digest(request, file):
    # The file's digest, not its id: a caller that sends a job again uploads
    # its file again and gets another file id.
    return content_digest(
        file.digest,
        request.endpoint,
        request.completion_window,
        orjson.dumps(request.metadata, option=orjson.OPT_SORT_KEYS),
        str(request.idempotent),
    )
