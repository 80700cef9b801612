"""Sending of a request to a chosen backend server."""

import contextlib

import attrs

from galenascale.errors import BackendError, Execution
from galenascale.gateway.balancing import Candidate, choose_candidate

# Servers that are compared for one request; of more a random part is, which
# has nearly as free ones.
MAX_CANDIDATES = 64


@attrs.define(eq=False)
class Attempt:
    """One request on its way at a backend server."""

    server: object
    connection: object
    sent_at: float
    # It may run again elsewhere if the server is out of reach.
    repeatable: bool
    # Called with the server if its answer says that it leaves.
    on_leaving: object
    # The answer was read to its end, so the connection may be used again.
    complete: bool = False

    async def read_head(self):
        """Return the ResponseHead; raise BackendError if it breaks off."""
        head = await self.connection.read()
        if head.leaving:
            self.on_leaving(self.server)
        return head

    async def read_body(self, limit):
        """Return the whole body; raise BackendError beyond so many bytes."""
        pieces = []
        size = 0
        while (piece := await self.connection.read()) is not None:
            size += len(piece)
            if size > limit:
                raise BackendError(
                    f"answer has more than {limit} bytes", code="answer_too_large"
                )
            pieces.append(piece)
        self.complete = True
        return b"".join(pieces)


class Dispatcher:
    """Chooses servers, sends requests and keeps what their answers show."""

    def __init__(self, parts, *, batch=False):
        self._parts = parts
        self._batch = batch

    def choose_server(self, plan, service_order):
        """Return the server for the next send, or None if there is none."""
        parts = self._parts
        now = parts.clock.monotonic()
        for service in service_order:
            entries = [
                entry
                for entry in parts.servers.usable(service, now)
                if not plan.excludes(entry.incarnation)
            ]
            if len(entries) > MAX_CANDIDATES:
                entries = parts.rng.sample(entries, MAX_CANDIDATES)
            candidates = [self.make_candidate(entry, now) for entry in entries]
            chosen = choose_candidate(
                candidates,
                parts.rng,
                retry=plan.had_connection_failure,
                load_is_stale=parts.slot_shares.is_load_stale,
            )
            if chosen is not None:
                return chosen
        return None

    def make_candidate(self, entry, now):
        """Return the Candidate of a server with what this host knows of it."""
        parts = self._parts
        in_flight = parts.load.total_at(entry.server_id)
        return Candidate(
            entry,
            online=in_flight.online,
            batch=in_flight.batch,
            local_online=parts.load.local_at(entry.server_id).online,
            own_slots=parts.slot_shares.own_slots(entry),
            quality=parts.health.quality(entry.incarnation, now),
            unreachable=parts.health.is_unreachable(entry.incarnation),
            same_domain=entry.failure_domain == parts.settings.failure_domain,
        )

    def _mark_leaving(self, server):
        parts = self._parts
        if parts.servers.note_leaving(server, parts.clock.monotonic()):
            # The other hosts are told in the next round of messages.
            parts.load.mark_changed()

    @contextlib.asynccontextmanager
    async def send(self, request, server, plan, resume_after):
        """
        Send a request and yield the Attempt; errors close its connection.

        Raise BackendError (not run) if the server cannot be reached.
        """
        parts = self._parts
        try:
            connection = await parts.pool.connect(
                server, repeatable=plan.route.repeatable
            )
        except BackendError as error:
            plan.record_unreachable(server.incarnation)
            if error.code == "connect_timeout":
                parts.reachability.suspect(server)
            else:
                parts.reachability.note_unreachable(server, error)
            raise
        now = parts.clock.monotonic()
        if not parts.servers.is_usable(server, now):
            # It left while a body was read or a connection was opened.
            plan.record_unreachable(server.incarnation)
            parts.pool.release(server, connection)
            raise BackendError(
                "server leaves",
                code="server_left",
                step="connect",
                peer=server.server_id,
                execution=Execution.NOT_RUN,
            )
        headers = parts.dialect.backend_headers(
            request, server.server_id, plan.remaining_s(now), resume_after
        )
        plan.record_send(server.incarnation)
        parts.load.start(server.server_id, batch=self._batch)
        attempt = Attempt(
            server, connection, now, plan.route.repeatable, self._mark_leaving
        )
        parts.reachability.add(attempt)
        try:
            connection.send(
                request.method,
                _encode_head(request, headers),
                request.body,
                request.request_id,
            )
            yield attempt
        finally:
            parts.reachability.remove(attempt)
            parts.load.end(server.server_id, batch=self._batch)
            if attempt.complete:
                parts.pool.release(server, connection)
            else:
                connection.abort()


def _encode_head(request, headers):
    line = f"{request.method} {request.target} HTTP/1.1"
    lines = [line.encode("utf-8", "surrogateescape")]
    lines.extend(name + b": " + value for name, value in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"
