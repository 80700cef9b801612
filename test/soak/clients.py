"""Callers of the soak: they keep connections and remember what they got."""

import asyncio
import base64

import aiohttp
import attrs
import orjson

from test.gateway.fleet import make_headers

KINDS = ("/plain/", "/once/", "/chat/", "/talk/")
# Seconds that a caller waits for an answer.
PATIENCE_S = 3.0
EVENTS = 5


@attrs.define
class Sent:
    """One request and what became of it."""

    request_id: str
    path: str
    host: int
    sent_at: float
    # None if there was no answer.
    status: int | None = None
    body: bytes = b""
    complete: bool = False
    ended_at: float = 0.0


@attrs.define
class SentJob:
    """One job and what its caller saw."""

    job_id: str
    items: int
    accepted: bool = False
    # Every answer to its submissions said that it was not run.
    refused: bool = True
    # The caller asked for its end, whatever the answer was.
    end_asked: bool = False
    ended_at: float | None = None
    # Results by position, as they were first read.
    results: list = attrs.field(factory=list)
    # Faults that a read showed.
    changed: list = attrs.field(factory=list)


def expected_body(sent):
    """Return the whole answer to a request."""
    if sent.path.startswith(("/plain/", "/once/")):
        return f"answer to {sent.request_id}".encode()
    return b"".join(
        b"id: %d\ndata: %b word%d\n\n" % (n, sent.request_id.encode(), n)
        for n in range(1, EVENTS + 1)
    )


def expected_text(item_id):
    """Return the whole result of an item."""
    return "\n".join(f"{item_id} word{n}" for n in range(1, EVENTS + 1))


class Clients:
    """Sends requests and jobs to all hosts until it is stopped."""

    def __init__(self, fleet, rng):
        self._fleet = fleet
        self._rng = rng
        self._count = 0
        self.requests = []
        self.jobs = []
        self.stopped = False

    def _clock(self):
        return asyncio.get_running_loop().time()

    def _host(self):
        return self._rng.choice(self._fleet.processes).number

    async def run(self, callers, submitters):
        """Send until stopped."""
        async with asyncio.TaskGroup() as group:
            for _ in range(callers):
                group.create_task(self._call())
            for _ in range(submitters):
                group.create_task(self._submit())

    async def _call(self):
        """Send requests on one kept connection a host."""
        async with aiohttp.ClientSession() as session:
            while not self.stopped:
                self._count += 1
                path = self._rng.choice(KINDS) + str(self._count)
                sent = Sent(f"r{self._count}", path, self._host(), self._clock())
                self.requests.append(sent)
                await self._send(session, sent)
                await asyncio.sleep(self._rng.uniform(0.0, 0.15))

    async def _send(self, session, sent):
        timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
        try:
            async with session.post(
                self._fleet.url(sent.path, sent.host),
                headers=make_headers(sent.request_id, sent.path),
                data=b"body",
                timeout=timeout,
            ) as response:
                sent.status = response.status
                sent.body = await response.read()
                sent.complete = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            # No or half an answer; the checks judge what it may mean.
            sent.complete = False
        sent.ended_at = self._clock()

    async def _submit(self):
        while not self.stopped:
            self._count += 1
            job = SentJob(f"job{self._count}", self._rng.randint(1, 5))
            self.jobs.append(job)
            for _ in range(4):
                if await self._try_submit(job) or self.stopped:
                    break
            if job.accepted and self._rng.random() < 0.2:
                await self._end(job)
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
            "POST", "/jobs/x", job.job_id, orjson.dumps({"Items": items})
        )
        job.accepted = status == 202
        job.refused = job.refused and status in (429, 503)
        return job.accepted

    async def _end(self, job):
        job.end_asked = True
        status, _ = await self.call("DELETE", f"/lots/{job.job_id}", "end")
        if status == 200:
            job.ended_at = self._clock()

    async def read(self, job):
        """Read a job's results at any host; note what changed."""
        status, body = await self.call("GET", f"/lots/{job.job_id}?After=0", "read")
        if status == 404:
            job.changed.append("404")
        if status != 200:
            return
        outputs = orjson.loads(body)["Outputs"]
        if outputs[: len(job.results)] != job.results[: len(outputs)]:
            job.changed.append("a position holds another result")
        if len(outputs) > len(job.results):
            job.results = outputs

    async def call(self, method, path, request_id, data=None):
        """Return (status or None, body) of a call at any host."""
        timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.request(
                    method,
                    self._fleet.url(path, self._host()),
                    headers=make_headers(request_id, path),
                    data=data,
                    timeout=timeout,
                ) as response,
            ):
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The caller cannot know what happened.
            return None, b""
