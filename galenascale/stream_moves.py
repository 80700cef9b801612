"""Moves of running streams away from a backend server that is leaving.

A stream resumes elsewhere from the tokens already sent. Its KV cache goes
with it when that is cheaper than to prefill prompt and answer again.
"""

import asyncio
import contextlib

import attrs

from galenascale.attempt_reader import broken
from galenascale.errors import BackendError
from galenascale.generated.messages import PlacementSettings
from galenascale.logs import get_logger

log = get_logger("online")

# Weight of a new measurement in a moving average.
MEASURED_SHARE = 0.2
# Transfers of fewer tokens say nothing about the rate.
MIN_MEASURED_TOKENS = 256
CHARS_PER_TOKEN = 4
# A transfer may take this long beyond the prefill that it saves.
IMPORT_LIMIT_S = 1.0


@attrs.define
class MoveCosts:
    """
    Costs declared in the settings.

    The rate of transfers follows the measured ones. The rate of prefill stays
    as declared, since the time to a first token also holds queues and cache
    hits.
    """

    prefill_tokens_per_s: float
    kv_tokens_per_s: float
    kv_setup_s: float

    def is_transfer_cheaper(self, tokens):
        """Compare the transfer of a KV cache with prefilling it again."""
        transfer_s = self.kv_setup_s + tokens / self.kv_tokens_per_s
        return transfer_s < self.prefill_s(tokens)

    def prefill_s(self, tokens):
        """Return the time to prefill tokens."""
        return tokens / self.prefill_tokens_per_s

    def note_transfer(self, tokens, seconds):
        """Take over the time that a transfer took, with its set-up."""
        if tokens < MIN_MEASURED_TOKENS:
            return
        rate = tokens / max(seconds - self.kv_setup_s, 0.001)
        self.kv_tokens_per_s += MEASURED_SHARE * (rate - self.kv_tokens_per_s)


@attrs.frozen
class HeldKv:
    """An exported KV cache and the server that holds it."""

    source: object
    kv_id: str
    tokens: int


class StreamMover:
    """Decides on moves and carries KV caches over."""

    def __init__(self, engine, clock, settings=None):
        self.settings = settings or PlacementSettings()
        self.costs = MoveCosts(
            self.settings.prefill_tokens_per_s,
            self.settings.kv_tokens_per_s,
            self.settings.kv_setup_s,
        )
        self._engine = engine
        self._clock = clock

    def now(self):
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def should_move(self, tokens, max_tokens, seconds):
        """
        Return True if a stream will not end soon on its own.

        `tokens` came in the `seconds` since the attempt began. A stream
        without a token yet is left until its first one shows its rate.
        """
        if not tokens or seconds <= 0:
            return False
        if max_tokens is None:
            return True
        return (max_tokens - tokens) * seconds / tokens > self.settings.finish_s

    async def export(self, server, attempt_id, tokens):
        """Return the HeldKv of an attempt, None to prefill instead."""
        if not self.costs.is_transfer_cheaper(tokens):
            return None
        try:
            export = await self._engine.kv_export(server, attempt_id)
        except BackendError as error:
            log.info("No KV cache of %s: %s.", attempt_id, error)
            return None
        return HeldKv(server, export.kv_id, tokens)

    async def resume(self, server, held, stream):
        """Yield the chunks of a stream, after the transfer of its cache."""
        started = self._clock.monotonic()
        limit_s = IMPORT_LIMIT_S + self.costs.prefill_s(held.tokens)
        transfer = asyncio.ensure_future(
            self._engine.kv_import(server, held.kv_id, held.source)
        )
        try:
            await self._clock.wait_any([transfer], limit_s)
        finally:
            transfer.cancel()
        try:
            await transfer
        except (BackendError, asyncio.CancelledError) as error:
            if asyncio.current_task().cancelling():
                raise
            # The engine prefills what it does not hold.
            log.info("KV cache was not moved to %s: %r.", server.name, error)
        else:
            self.costs.note_transfer(held.tokens, self._clock.monotonic() - started)
        async with contextlib.aclosing(stream):
            async for chunk in stream:
                yield chunk


class StreamMoves:
    """Moves of the stream of one request with a JSON body."""

    def __init__(self, mover, body):
        self._mover = mover
        self._prompt_tokens = _prompt_tokens(body)
        self._max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
        # KV cache that the next attempt takes along.
        self._held = None
        self._is_asked = False
        self._first_token = 0
        self._started_at = 0.0

    def start(self, server, sent_tokens, stream):
        """Return the stream of a new attempt, preceded by a transfer."""
        self._is_asked = False
        self._first_token = sent_tokens
        self._started_at = self._mover.now()
        held, self._held = self._held, None
        return stream if held is None else self._mover.resume(server, held, stream)

    def is_due(self, sent_tokens):
        """Return True if the stream is to move, until it was asked to."""
        limit = self._max_tokens
        return not self._is_asked and self._mover.should_move(
            sent_tokens - self._first_token,
            None if limit is None else limit - self._first_token,
            self._mover.now() - self._started_at,
        )

    def ask(self):
        """Return the error that ends the attempt on the leaving server."""
        self._is_asked = True
        return broken("server is leaving", code="moved")

    async def export(self, server, attempt_id, sent_tokens):
        """Take the KV cache of an attempt along, if that is cheaper."""
        tokens = self._prompt_tokens + sent_tokens
        self._held = await self._mover.export(server, attempt_id, tokens)


def _prompt_tokens(body):
    """Return about how many tokens the prompt of a request has."""
    prompt = body.get("messages") or body.get("prompt") or ""
    return len(str(prompt)) // CHARS_PER_TOKEN
