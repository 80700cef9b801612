"""Callers that generate load on the fleet and record each response."""

import asyncio
import base64

import aiohttp
import attrs
import orjson

from test.gateway.fleet import key_header, make_headers
from test.soak.tenants import CHECKS, TENANT_NAMES

PATH_PREFIXES = ("/plain/", "/once/", "/chat/", "/talk/")
# Timeout of one HTTP call by a caller.
REQUEST_TIMEOUT_S = 3.0
# Share of requests with a key that was taken away.
OLD_KEY_SHARE = 0.08
# Events in each complete stream.
STREAM_EVENTS = 5


@attrs.define
class SentRequest:
    """One online request and its response; times on the loop's clock."""

    request_id: str
    path: str
    host: int
    sent_at: float
    # Key of the caller.
    key: str
    # HTTP status; None if no response arrived.
    status: int | None = None
    body: bytes = b""
    complete: bool = False
    # The soak test had ended the host, and it did not listen yet.
    host_was_down: bool = False
    ended_at: float = 0.0


@attrs.define
class SentJob:
    """One batch job and what its caller observed."""

    job_id: str
    items: int
    # Tenant that sends it.
    tenant: str = CHECKS
    accepted: bool = False
    # Every submission was answered with a status that means "not run".
    refused: bool = True
    # The caller sent a DELETE for it; the answer may have been lost.
    end_requested: bool = False
    ended_at: float | None = None
    # Results by position, from the longest read so far.
    results: list = attrs.field(factory=list)
    # Violations found while reading the results.
    read_violations: list = attrs.field(factory=list)


def expected_body(sent):
    """Return the expected body of the complete response to a request."""
    if sent.path.startswith(("/plain/", "/once/")):
        return f"answer to {sent.request_id}".encode()
    return b"".join(
        b"id: %d\ndata: %b word%d\n\n" % (n, sent.request_id.encode(), n)
        for n in range(1, STREAM_EVENTS + 1)
    )


def expected_text(item_id):
    """Return the expected text of the result of a completed item."""
    return "\n".join(f"{item_id} word{n}" for n in range(1, STREAM_EVENTS + 1))


class Clients:
    """Sends requests and jobs to random hosts until `stopped` is set."""

    def __init__(self, fleet, rng):
        self._fleet = fleet
        self._rng = rng
        self._count = 0
        self.requests = []
        self.jobs = []
        self.stopped = False

    def _now(self):
        return asyncio.get_running_loop().time()

    def _pick_host(self):
        return self._rng.choice(self._fleet.processes).number

    async def run(self, callers, submitters):
        """Run callers of requests and submitters of jobs until stopped."""
        async with asyncio.TaskGroup() as group:
            for _ in range(callers):
                group.create_task(self._run_caller())
            for _ in range(submitters):
                group.create_task(self._run_submitter())

    async def _run_caller(self):
        """Send requests, reusing one connection to each host."""
        async with aiohttp.ClientSession() as session:
            while not self.stopped:
                self._count += 1
                path = self._rng.choice(PATH_PREFIXES) + str(self._count)
                sent = SentRequest(
                    f"r{self._count}",
                    path,
                    self._pick_host(),
                    self._now(),
                    self._pick_key(),
                )
                self.requests.append(sent)
                await self._send(session, sent)
                await asyncio.sleep(self._rng.uniform(0.0, 0.15))

    def _pick_key(self):
        """Return a tenant's key, or sometimes one that was taken away."""
        keys = self._fleet.keys
        if keys.removed and self._rng.random() < OLD_KEY_SHARE:
            return self._rng.choice(keys.removed).key
        tenant = self._rng.choice(TENANT_NAMES)
        return keys.key_by_tenant[tenant]

    async def _send(self, session, sent):
        process = self._fleet.process_by_number(sent.host)
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with session.post(
                self._fleet.url(sent.path, sent.host),
                headers=make_headers(sent.request_id, sent.path) | key_header(sent.key),
                data=b"body",
                timeout=timeout,
            ) as response:
                sent.status = response.status
                process.was_ended = False
                sent.body = await response.read()
                sent.complete = True
        except aiohttp.ClientConnectorError:
            sent.host_was_down = process.was_ended
        except (aiohttp.ClientError, TimeoutError, OSError):
            # Missing or truncated response; check_requests() evaluates it.
            sent.complete = False
        sent.ended_at = self._now()

    async def _run_submitter(self):
        while not self.stopped:
            self._count += 1
            job = SentJob(
                f"job{self._count}",
                self._rng.randint(1, 5),
                self._rng.choice(TENANT_NAMES),
            )
            self.jobs.append(job)
            for _ in range(4):
                if await self._try_submit(job) or self.stopped:
                    break
            if job.accepted and self._rng.random() < 0.2:
                await self._end_job(job)
            await asyncio.sleep(self._rng.uniform(0.2, 0.8))

    async def _try_submit(self, job):
        items = [
            {
                "Id": f"{job.job_id}-{number}",
                "Path": f"/jobs/{number}",
                "Headers": {"X-Galenascale-Model": "m"},
                "Body": base64.b64encode(b"item").decode(),
                "Tokens": 100,
            }
            for number in range(job.items)
        ]
        status, _ = await self.call(
            "POST", "/jobs/x", job, job.job_id, orjson.dumps({"Items": items})
        )
        job.accepted = status == 202
        job.refused = job.refused and status in (429, 503)
        return job.accepted

    async def _end_job(self, job):
        job.end_requested = True
        status, _ = await self.call("DELETE", f"/lots/{job.job_id}", job, "end")
        if status == 200:
            job.ended_at = self._now()

    async def read_results(self, job):
        """Read the results of a job at a random host and record violations."""
        path = f"/lots/{job.job_id}?After=0"
        status, body = await self.call("GET", path, job, "read")
        if status == 404:
            job.read_violations.append("404")
        if status != 200:
            return
        outputs = orjson.loads(body)["Outputs"]
        if outputs[: len(job.results)] != job.results[: len(outputs)]:
            job.read_violations.append("a position holds another result")
        if len(outputs) > len(job.results):
            job.results = outputs

    async def call(self, method, path, job, request_id, data=None):
        """
        Call a random host as the tenant of a job.

        Return (status, body), or (None, b"") if there is no whole answer.
        """
        key = self._fleet.keys.key_by_tenant[job.tenant]
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.request(
                    method,
                    self._fleet.url(path, self._pick_host()),
                    headers=make_headers(request_id, path) | key_header(key),
                    data=data,
                    timeout=timeout,
                ) as response,
            ):
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The outcome of the call is unknown to the caller.
            return None, b""
