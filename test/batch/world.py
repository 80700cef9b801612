"""Hosts with all parts of outcomes over one log and fake backend servers."""

import asyncio
import types
from collections import Counter

import orjson

from galenascale import codec
from galenascale.batch import BatchWorker, GrantService
from galenascale.batch.reporter import OutcomeReporter
from galenascale.batch.runs import ItemRunner
from galenascale.calls import Answer, Call, CallService
from galenascale.clock import Clock, FakeClock
from galenascale.errors import BackendError, Execution, PeerError
from galenascale.files import FileService
from galenascale.generated import messages
from galenascale.generated.messages import BackendServerDeclaration
from galenascale.jobs import JobRequest, JobService
from galenascale.poison import PoisonTracker
from galenascale.requests import Chunk
from galenascale.shards import Shards, make_record
from galenascale.shards.ids import data_stream, work_stream
from galenascale.shards.keeper import ShardKeeper
from test.fakes import FakeLog, FakePeers, run_with_clock

ENDPOINTS = {"svc": "/services/svc/quotes", "llm": "/v1/chat/completions"}
SERVERS = [
    BackendServerDeclaration(name=f"{service}-{n}", service_name=service, slots=4)
    for service in ENDPOINTS
    for n in range(3)
]
SERVERS_OF = {
    name: [server for server in SERVERS if server.service_name == name]
    for name in ENDPOINTS
}
RETENTION = 60
SETTINGS = messages.HostSettings(
    batch=messages.BatchSettings(chunk_items=3, lease_ms=5000),
    log=messages.LogSettings(
        shards=2, snapshot_records=10, retention_records=RETENTION
    ),
)
RUN_S, DOWN_S = 0.3, 1.0
# A host that is silent for longer seems gone to the others.
SILENCE_S = 2.0


class HostClock(Clock):
    """One host's clock: a paused host wakes late, a dead one never."""

    def __init__(self, base):
        self.base = base
        self.running = asyncio.Event()
        self.running.set()
        self.silent_since = None
        self.ahead_ms = 0
        self.dead = False

    def monotonic(self):
        return self.base.monotonic()

    def wall_ms(self):
        return self.base.wall_ms() + self.ahead_ms

    async def sleep(self, seconds):
        await self.go_on()
        await self.base.sleep(seconds)
        await self.go_on()

    async def go_on(self):
        """Return once the host runs; nothing of a dead host goes on."""
        if self.dead:
            raise asyncio.CancelledError
        await self.running.wait()

    def pause(self):
        self.running.clear()
        self.silent_since = self.base.monotonic()

    def resume(self):
        self.running.set()
        self.silent_since = None


class Gated:
    """Calls to the outside that wait while their host is paused."""

    def __init__(self, target, clock):
        self._target = target
        self._clock = clock

    def __getattr__(self, name):
        method = getattr(self._target, name)

        async def call(*args, **kwargs):
            await self._clock.go_on()
            try:
                result = await method(*args, **kwargs)
            except Exception:
                await self._clock.go_on()
                raise
            await self._clock.go_on()
            return result

        async def stream(*args, **kwargs):
            await self._clock.go_on()
            async for chunk in method(*args, **kwargs):
                await self._clock.go_on()
                yield chunk

        return stream if name == "stream" else call


class TimedPeers(FakePeers):
    """Calls that a lost or paused host does not answer, but may still do."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    async def call(self, host_id, method, message, reply_type, timeout_s):
        coroutine = super().call(host_id, method, message, reply_type, timeout_s)
        task = asyncio.create_task(coroutine)
        await self.clock.wait_any([task], timeout_s)
        if not task.done() or task.cancelled():
            raise PeerError("no answer", peer=host_id)
        return task.result()


class FakeBackend:
    """Counts the runs by item; a poisonous item crashes its server."""

    def __init__(self, clock):
        self.clock = clock
        self.runs, self.harmed, self.poisonings = Counter(), Counter(), Counter()
        # "ok", "connect_failed" or "lost", used up in order.
        self.faults = []
        self.down_until = {}
        self.crash_events = {}

    def crash(self, server_id):
        """Break all streams of a server, which comes back later."""
        self.crash_events.pop(server_id, asyncio.Event()).set()
        self.down_until[server_id] = self.clock.monotonic() + DOWN_S

    async def _run(self, server, item, poison=False):
        fault = self.faults.pop(0) if self.faults else "ok"
        down = self.down_until.get(server.name, 0) > self.clock.monotonic()
        if down or fault == "connect_failed":
            raise BackendError("no", code=fault, execution=Execution.NOT_RUN)
        self.runs[item] += 1
        crash = self.crash_events.setdefault(server.name, asyncio.Event())
        if poison:
            self.poisonings[item] += 1
            self.crash(server.name)
        await self.clock.wait_any([crash.wait()], RUN_S)
        if crash.is_set():
            self.harmed[item] += 1
            raise BackendError("x", code="stream_broken")
        if fault == "lost":
            raise BackendError("x", code="timeout", execution=Execution.MAY_HAVE_RUN)

    async def forward(self, server, method, path, headers, body, timeout_s):
        value = orjson.loads(body)
        await self._run(server, value["item"], value.get("poison"))
        return Answer(200, "application/json", b'"done"')

    async def stream(self, server, request, attempt, tokens, text):
        assert len(text) == tokens
        for index in range(tokens, 2):
            if index == tokens:
                await self._run(
                    server, request.body["item"], request.body.get("poison")
                )
            yield Chunk(index, "x", b"{}", "stop" if index == 1 else None)
        usage = {"prompt_tokens": 7, "completion_tokens": 2, "total_tokens": 9}
        yield Chunk(2, "", b"{}", None, usage)


class Host:
    """One incarnation of a host."""

    def __init__(self, world, host_id, incarnation):
        self.host_id, self.incarnation = host_id, incarnation
        self.clock = HostClock(world.clock)
        self.settings = SETTINGS
        self.log_client = Gated(world.log, self.clock)
        self.peers = Gated(world.peers, self.clock)
        engine = Gated(world.backend, self.clock)
        self.shards = Shards(
            self.log_client,
            self.clock,
            SETTINGS.log,
            host_id,
            lambda shard: world.owner(shard, host_id),
            self.peers,
        )
        self.keeper = ShardKeeper(
            self.shards, self.log_client, self.clock, SETTINGS.log
        )
        self.files = FileService(self.shards, self.log_client, self.clock, SETTINGS)
        config = types.SimpleNamespace(current=world.config)
        self.jobs = JobService(
            self.shards, self.log_client, self.files, config, self.clock, SETTINGS
        )
        self.calls = CallService(self, world.choose, engine)
        self.grants = GrantService(
            self.shards, self.clock, SETTINGS.batch, world.is_gone
        )
        self.reporter = OutcomeReporter(
            self.shards, self.clock, lambda *args: self.worker.recorded(*args)
        )
        self.trackers = {name: PoisonTracker(name) for name in ENDPOINTS}
        runner = ItemRunner(
            engine,
            self.shards,
            self.clock,
            SETTINGS.batch,
            self.trackers.get,
            world.share,
        )
        self.worker = BatchWorker(self, self.grants, self, self.reporter, runner.run)
        self._world = world
        for name, handler in (
            ("submit", self.shards.handle_submit),
            ("work", self.grants.grant),
            ("call_status", self.calls.handle_status),
        ):
            world.peers.handlers[host_id, name] = handler
        self.tasks = [
            asyncio.create_task(part.run())
            for part in (self.reporter, self.worker, self.keeper)
        ]

    def services(self):
        return list(ENDPOINTS)

    def free_slots(self, service):
        """Slots of the servers that this host owns."""
        return [
            (server, server.slots - self.worker.running(server.name))
            for number, server in enumerate(SERVERS)
            if server.service_name == service
            and self._world.owner(number, self.host_id) == self.host_id
            and server.slots > self.worker.running(server.name)
        ]

    def running(self, service):
        """Number of running items of a service."""
        return sum(self.worker.running(s.name) for s in SERVERS_OF[service])

    def started(self, service, server_id):
        """Routing is not part of these tests."""

    ended = started

    async def kill(self):
        """End the process; nothing that it still does has an effect."""
        self.clock.dead = True
        self.clock.silent_since = self.clock.monotonic()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.calls.recorder.close()
        await self.shards.close()


class World:
    """Several hosts; requests to them and what was answered."""

    def __init__(self, hosts=3):
        self.clock = FakeClock()
        self.log, self.peers = FakeLog(), TimedPeers(self.clock)
        self.log.store.retention_records = RETENTION
        self.backend = FakeBackend(self.clock)
        self.racing = False
        services = {name: messages.ServiceDeclaration(name=name) for name in ENDPOINTS}
        models = {"m": messages.ModelDeclaration(name="m", service_name="llm")}
        self.config = types.SimpleNamespace(
            services_by_name=services, models_by_name=models
        )
        self.hosts, self.losses, self.pauses = [], 0, 0
        # Recorded (status, winner) by job id and item.
        self.recorded = {}
        # Items by job id, jobs by key, statuses at the cancel by job id.
        self.accepted, self.cancelled, self.refused = {}, {}, []
        for number in range(hosts):
            self.hosts.append(Host(self, f"h{number}", f"h{number}-0"))

    def owner(self, number, host_id):
        """Return the owner of a shard or server; racing hosts own all."""
        if self.racing:
            return host_id
        live = [host.host_id for host in self.hosts if not self._silent(host)]
        return live[number % len(live)] if live else host_id

    def _silent(self, host):
        since = host.clock.silent_since
        return since is not None and self.clock.now_s - since > SILENCE_S

    def is_gone(self, host_id, incarnation):
        """Return what gossip tells about a process."""
        host = next(host for host in self.hosts if host.host_id == host_id)
        return host.incarnation != incarnation or self._silent(host)

    def choose(self, service, excluded):
        """Return a server for a call."""
        return next(
            (
                s
                for s in SERVERS
                if s.service_name == service and s.name not in excluded
            ),
            None,
        )

    def share(self, verdict):
        """Carry a poison verdict to all hosts that are not paused."""
        for host in self.hosts:
            if host.clock.running.is_set():
                host.trackers[verdict.service_name].merge(verdict, self.clock.wall_ms())

    def pause(self, number):
        """Stop a host's clock and calls."""
        self.hosts[number].clock.pause()
        self.peers.cut.add(self.hosts[number].host_id)
        self.pauses += 1

    def resume(self, number):
        """Let a paused host go on at the present time."""
        self.hosts[number].clock.resume()
        self.peers.cut.discard(self.hosts[number].host_id)

    async def replace(self, number):
        """Lose a host and start its next incarnation."""
        old = self.hosts[number]
        await old.kill()
        self.losses += 1
        self.peers.cut.discard(old.host_id)
        self.hosts[number] = Host(self, old.host_id, f"{old.host_id}-{self.losses}")

    async def wait(self, coroutine):
        """Return the result of a request while time passes."""
        return await run_with_clock(self.clock, coroutine, 0.25, 400)

    async def submit(self, number, items, service="svc", key="", idempotent=True):
        """Upload a file and create its job, as a caller does."""
        host, endpoint = self.hosts[number], ENDPOINTS[service]

        async def lines():
            for item in items:
                body = {"item": item, "model": "m", "poison": "poison" in item}
                line = {"custom_id": item, "method": "POST", "url": endpoint}
                yield orjson.dumps({**line, "body": body})

        created = await host.files.create("t", "f", "batch", lines())
        request = JobRequest(created.file_id, endpoint, "10m", {}, key, idempotent)
        job = await host.jobs.create("t", request)
        job_id = job.created.job_id
        assert self.accepted.setdefault(job_id, tuple(items)) == tuple(items)
        return job_id

    async def cancel(self, number, job_id):
        """Cancel a job and note what was recorded of it until then."""
        job = await self.hosts[number].jobs.cancel("t", job_id)
        if job.cancelled:
            self.cancelled.setdefault(job_id, bytes(job.statuses))
        return job

    async def call(self, number, item, key="k"):
        """Make a non-idempotent call."""
        body = orjson.dumps({"item": item})
        deadline = self.clock.monotonic() + 20
        call = Call("t", "svc", "POST", "/book", "", body, deadline, key, False)
        return (await self.hosts[number].calls.call(call)).body

    async def heal(self, seconds=60):
        """End all faults and let time pass until all jobs have ended."""
        self.log.append_faults, self.log.read_down = [], False
        self.log.deliver_late()
        self.backend.faults, self.racing = [], False
        for number, host in enumerate(self.hosts):
            if not host.clock.running.is_set():
                self.resume(number)
        for _ in range(seconds):
            await self.clock.advance(1)
            if all(job.ended for job in (await self.jobs()).values()):
                break

    async def traffic(self, count=RETENTION + 10):
        """Let other records trim the log while the keepers carry bodies."""
        for number in range(count):
            records = [make_record(messages.ChunkRelease("none", number, 0))]
            body = codec.encode(messages.LogBatch(records=records))
            for shard in range(SETTINGS.log.shards):
                self.log.store.append(work_stream(shard), body)
                self.log.store.append(data_stream(shard), body)
            await self.clock.advance(0.25)

    async def jobs(self):
        """Return the JobEntry objects by id as a fresh host reads them."""
        shards = Shards(self.log, self.clock, SETTINGS.log, "fresh")
        result = {}
        for shard in range(shards.count):
            result |= (await shards.view(shard)).jobs_by_id
        return result

    async def note_recorded(self):
        """Remember the first outcome that was seen of each item."""
        for job_id, job in (await self.jobs()).items():
            for item, status in enumerate(job.statuses):
                if status:
                    outcome = (status, job.outcome_indexes[item])
                    self.recorded.setdefault((job_id, item), outcome)

    async def results(self, job_id):
        """Return (custom_id, error code or None) of all lines of a job."""
        lines = []
        shards = Shards(self.log, self.clock, SETTINGS.log, "fresh")
        jobs = JobService(shards, self.log, None, None, self.clock, SETTINGS)
        for failed in (False, True):
            async for line in await jobs.results("t", job_id, failed):
                value = orjson.loads(line)
                error = value["error"]
                lines.append((value["custom_id"], error and error["code"]))
        return lines

    async def close(self):
        """Stop all hosts."""
        for host in self.hosts:
            await host.kill()
