"""Chooses a backend server and sends a request to it."""

import asyncio
import contextlib

import attrs

from galenascale.errors import BackendError, Execution
from galenascale.gateway import limit_exchange
from galenascale.gateway.answer_meaning import Meaning, find_meaning
from galenascale.gateway.balancing import Candidate, choose_candidate
from galenascale.gateway.http_heads import InvalidHead, encode_request_head
from galenascale.gateway.slots.leases import is_paced

# Maximum number of servers compared for one request. Of a larger pool a random
# sample is compared, whose best servers are nearly as free.
MAX_CANDIDATES = 64
# Seconds within which the body of a refusal must arrive for its connection to
# be used again.
REFUSAL_BODY_TIMEOUT_S = 0.1


@attrs.define(eq=False)
class Attempt:
    """One attempt of a request at a backend server."""

    server: object
    connection: object
    # Monotonic time in seconds.
    sent_at: float
    # Whether the request may be retried if the server becomes unreachable.
    repeatable: bool
    # Called with the server if its response announces that it is leaving.
    on_leaving: object
    # Called with the server and the request if another one has its address.
    on_gone: object
    # Called with the Attempt and the ResponseHead of the server itself.
    on_head: object
    # HeldBytes of all answers of the host.
    held: object
    # Whether the response was read to its end and the connection is reusable.
    complete: bool = False
    # The CallerRequest, and the Meaning of the answer once its head was read.
    request: object = None
    meaning: Meaning | None = None

    async def read_head(self):
        """Return the ResponseHead; raise BackendError if it is incomplete."""
        head = await self.connection.read()
        self.meaning = find_meaning(head, self.request)
        if head.leaving:
            self.on_leaving(self.server)
        if self.meaning is Meaning.OTHER_SERVER:
            self.on_gone(self.server, self.request)
        else:
            self.on_head(self, head)
        return head

    async def read_body(self, limit):
        """Return the whole body; raise BackendError above `limit` bytes."""
        body = bytearray()
        try:
            while (piece := await self.connection.read()) is not None:
                if len(body) + len(piece) > limit:
                    raise BackendError(
                        f"response has more than {limit} bytes", code="answer_too_large"
                    )
                self.held.add(len(piece))
                body += piece
        finally:
            self.held.release(len(body))
        self.complete = True
        return bytes(body)


async def read_refusal(context, attempt, limit):
    """
    Return the body of a refusal; empty if it is cut off or late.

    Its connection is then closed. `limit` is in bytes.
    """
    try:
        async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
            return await attempt.read_body(limit)
    except (TimeoutError, BackendError) as error:
        context.log.write(
            "refusal_cut_off", server=attempt.server.server_id, reason=repr(error)
        )
        return b""


class Dispatcher:
    """Chooses servers, sends requests and records the results."""

    def __init__(self, context, *, batch=False):
        self._context = context
        self._batch = batch

    def choose_server(self, plan, service_order):
        """Return the Candidate for the next attempt; None if there is none."""
        context = self._context
        now = context.clock.monotonic()
        for service in service_order:
            entries = [
                entry
                for entry in context.servers.usable(service, now)
                if not plan.excludes(entry.incarnation)
            ]
            if context.limits:
                # Only the owner of their pool lets requests go to the others.
                entries = [
                    entry for entry in entries if context.limits.rate_of(entry) is None
                ]
            if len(entries) > MAX_CANDIDATES:
                entries = context.rng.sample(entries, MAX_CANDIDATES)
            candidates = [self.make_candidate(entry, now) for entry in entries]
            chosen = choose_candidate(
                candidates,
                context.rng,
                retry=plan.had_connection_failure,
                load_is_stale=context.slot_shares.is_load_stale,
            )
            if chosen is not None:
                return chosen
        return None

    def make_candidate(self, entry, now):
        """Return a server's Candidate with its load and health at `now`."""
        context = self._context
        in_flight = context.load.total_at(entry.server_id)
        return Candidate(
            entry,
            online=in_flight.online,
            batch=in_flight.batch,
            local_online=context.load.local_at(entry.server_id).online,
            own_slots=context.slot_shares.own_slots(entry),
            quality=context.health.quality(entry.incarnation, now),
            unreachable=context.health.is_unreachable(entry.incarnation),
            same_domain=entry.failure_domain == context.settings.failure_domain,
        )

    def _mark_leaving(self, server):
        context = self._context
        if context.servers.record_leaving(server, context.clock.monotonic()):
            # Triggers a message that tells the other hosts.
            context.load.mark_changed()

    def _mark_gone(self, server, request):
        context = self._context
        context.health.mark_gone(server.incarnation, context.clock.monotonic())
        context.log.write(
            "server_gone",
            "warning",
            server=server.server_id,
            request=request.request_id,
        )

    def _record_head(self, attempt, head):
        """Record the weights and the limit that a server names, or its end."""
        self._record_weights(attempt, head)
        if head.limit is not None or self._context.limits:
            limit_exchange.record_answer(self._context, attempt, head)

    def _record_weights(self, attempt, head):
        context = self._context
        request = attempt.request
        context.versions.observe(
            attempt.server.incarnation, head, request, context.clock.monotonic()
        )
        if attempt.meaning is Meaning.OTHER_WEIGHTS:
            context.log.write(
                "weights_differ",
                "debug",
                server=attempt.server.server_id,
                request=request.request_id,
                expected_version=request.expected_version,
                weights_version=head.weights_version,
            )

    def _raise_on_obstacle(self, server, plan, lease, now):
        """Raise BackendError (not run) if nothing may be sent now."""
        context = self._context
        if not context.servers.is_usable(server, now):
            # The server announced that it leaves, or was removed, while the
            # body was read or the connection was opened.
            plan.record_unreachable(server.incarnation)
            raise _not_sent(server, "server is leaving", code="server_left")
        if context.limits.rate_of(server) is not None and not is_paced(lease, now):
            # The owner of the pool did not know of the limit, or the request
            # could not be sent soon enough.
            plan.record_limited(server.incarnation)
            limit_exchange.record_unpaced(context, server)
            raise _not_sent(server, "server named a limit", code="server_limited")

    def _encode_head(self, request, server, remaining_s, resume_after):
        """Return the head of a request; raise InvalidHead."""
        fields = self._context.dialect.build_backend_headers(
            request, server.server_id, remaining_s, resume_after
        )
        return encode_request_head(request, fields)

    @contextlib.asynccontextmanager
    async def send(self, request, server, plan, resume_after, lease=None):
        """
        Send a request and yield the Attempt; close its connection on errors.

        `lease` is that of the slot. Raise BackendError (not run) if the server
        is unreachable or leaving, or if the lease does not let a request go to
        a server that named a limit, and InvalidHead (not run) if the request
        has no head that can be sent.
        """
        context = self._context
        try:
            connection = await context.pool.acquire(
                server, request.request_id, repeatable=plan.route.repeatable
            )
        except BackendError as error:
            plan.record_unreachable(server.incarnation)
            if error.code == "connect_timeout":
                context.reachability.suspect(server)
            else:
                context.reachability.record_unreachable(server, error)
            raise
        now = context.clock.monotonic()
        try:
            self._raise_on_obstacle(server, plan, lease, now)
            head = self._encode_head(
                request, server, plan.remaining_s(now), resume_after
            )
        except (BackendError, InvalidHead):
            context.pool.release(server, connection)
            raise
        plan.record_send(server.incarnation)
        context.versions.record_send(server.incarnation, request.expected_version, now)
        context.load.start(server.server_id, batch=self._batch)
        attempt = Attempt(
            server,
            connection,
            now,
            plan.route.repeatable,
            self._mark_leaving,
            self._mark_gone,
            self._record_head,
            context.held_answers,
            request=request,
        )
        context.reachability.add(attempt)
        try:
            connection.send(request.method, head, request.body, request.request_id)
            yield attempt
        finally:
            context.reachability.remove(attempt)
            context.load.end(server.server_id, batch=self._batch)
            if attempt.complete:
                context.pool.release(server, connection)
            else:
                connection.abort()


def _not_sent(server, message, *, code):
    return BackendError(
        message,
        code=code,
        step="connect",
        peer=server.server_id,
        execution=Execution.NOT_RUN,
    )
