"""Events, engines and network of the policy benchmark under a fake clock."""

import heapq
import itertools

import attrs

from galenascale.requests import ServerReport
from galenascale.standins.engine_model import EngineModel, Stream

MS = 1000
EPOCH_MS = 1_000_000_000


class Simulation:
    """Queue of events; `now` is the time in seconds."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._numbers = itertools.count()

    def monotonic(self):
        """Return the time, as galenascale.clock.Clock does."""
        return self.now

    def wall_ms(self):
        """Return the wall time that belongs to `now`."""
        return EPOCH_MS + int(self.now * MS)

    def at(self, time, action):
        """Call an action at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def after(self, delay, action):
        """Call an action after a delay."""
        self.at(self.now + delay, action)

    def every(self, interval, action, offset=0.0):
        """Call an action at regular times."""

        def again():
            action()
            self.after(interval, again)

        self.after(offset, again)

    def run(self, until):
        """Process the events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until


@attrs.define(eq=False)
class Attempt:
    """One stream on an engine and who gets its tokens."""

    stream: Stream
    on_token: object
    cancelled: bool = False


class Server:
    """One engine model that is driven by the simulation."""

    def __init__(self, simulation, server_id, settings, latency_s, reserve):
        self.server_id = server_id
        self.model = EngineModel(settings)
        self._simulation = simulation
        self._latency_s = latency_s
        self._scheduled = None
        self.batch_ids = set()
        # Slot-seconds of idle capacity and of batch streams, and their start.
        self.idle = self.batch = self.allowed = 0.0
        self.reserve = reserve
        # Arrivals at a host of online requests that need a slot of batch, and
        # the times until each got one.
        self._needing = []
        self.give_way_s = []
        self._counted_at = 0.0

    def submit(self, name, work, first_token, on_token, is_batch):
        """Send a stream to the engine; return its Attempt."""
        blocks = ()
        if work.prefix is not None:
            blocks = tuple((work.prefix, index) for index in range(4))
        stream = Stream(
            name,
            -1 - work.number if is_batch else work.number,
            work.prompt,
            work.answer,
            blocks,
            first_token,
            first_token,
        )
        attempt = Attempt(stream, on_token)
        stream.sink = attempt

        def arrive():
            if attempt.cancelled:
                return
            self.count()
            if is_batch:
                self.batch_ids.add(name)
            self.model.submit(self._simulation.now, stream)
            self._schedule()

        self._simulation.after(self._latency_s, arrive)
        return attempt

    def cancel(self, attempt):
        """Stop a stream at the engine after the network delay."""

        def arrive():
            self.count()
            attempt.cancelled = True
            self.model.cancel(attempt.stream.request_id)
            self.batch_ids.discard(attempt.stream.request_id)
            self._slot_freed()

        attempt.on_token = None
        self._simulation.after(self._latency_s, arrive)

    def count(self):
        """Add the slot-seconds since the last change."""
        seconds = self._simulation.now - self._counted_at
        self._counted_at = self._simulation.now
        running = self.model.running
        batch = sum(stream.request_id in self.batch_ids for stream in running)
        online = len(running) - batch
        free = self.model.settings.slots - online
        self.idle += seconds * free
        self.allowed += seconds * max(0, free - self.reserve)
        self.batch += seconds * batch

    def reset(self):
        """Start the measurement."""
        self.count()
        self.idle = self.batch = self.allowed = 0.0
        self.give_way_s.clear()

    def need_slot(self):
        """Note an online request that is sent here, if batch must give way."""
        used = len(self.model.running) + len(self.model.queue)
        if self.batch_ids and used + 1 + self.reserve > self.model.settings.slots:
            self._needing.append(self._simulation.now)

    def _slot_freed(self):
        now = self._simulation.now
        self.give_way_s += [now - at for at in self._needing]
        self._needing.clear()

    def report(self):
        """Return the ServerReport of this moment."""
        return ServerReport(
            self.server_id,
            self._simulation.wall_ms(),
            len(self.model.running),
            len(self.model.queue),
        )

    def _schedule(self):
        at = self.model.next_step_end
        if at is None or at == self._scheduled:
            return
        self._scheduled = at
        self._simulation.at(at, self._step)

    def _step(self):
        now = self._simulation.now
        self._scheduled = None
        if self.model.next_step_end is None or self.model.next_step_end > now:
            self._schedule()
            return
        self.count()
        for token in self.model.advance(now):
            attempt = token.stream.sink
            if token.final:
                self._slot_freed()
                self.batch_ids.discard(token.stream.request_id)
            self._simulation.after(
                self._latency_s,
                lambda attempt=attempt, token=token: self._deliver(attempt, token),
            )
        self._schedule()

    @staticmethod
    def _deliver(attempt, token):
        if attempt.on_token is not None:
            attempt.on_token(token)
