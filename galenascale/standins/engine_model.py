"""Simulation of an inference engine with continuous batching.

Each step admits requests in order of arrival while slots and KV memory last,
prefills a bounded number of tokens, and at its end generates one token for
each prefilled stream. The model does no I/O and callers pass the time in, so
benchmarks can run it on simulated time:

    while model.next_step_end is not None:
        now = model.next_step_end
        for token in model.advance(now):
            ...
"""

import collections
import enum

import attrs

from galenascale.standins.engine_text import text_digest
from galenascale.standins.prefix_cache import PrefixCache, block_hashes, count_tokens

# Maximum prefill per step; more delays the next token of all other streams.
MAX_STEP_PREFILL_TOKENS = 512
# Number of ended attempts whose KV cache can still be exported.
MAX_RECENT_ATTEMPTS = 256


class Phase(enum.IntEnum):
    """Lifecycle phase of a stream."""

    QUEUED = 1
    RUNNING = 2
    FINISHED = 3
    CANCELLED = 4


@attrs.define(eq=False)
class Stream:
    """One attempt of a request; `generated` includes resumed tokens."""

    request_id: str
    digest: int
    prompt_tokens: int
    max_tokens: int
    blocks: tuple = ()
    first_token: int = 0
    generated: int = 0
    prefill_left: int = 0
    cached_tokens: int = 0
    phase: Phase = Phase.QUEUED
    # Set by the owner of the model, such as the connection; not used here.
    sink: object = None

    @classmethod
    def from_prompt(
        cls, request_id, prompt, max_tokens, names=("", "", ""), first_token=0
    ):
        """
        Return a queued stream.

        `names` are model, version and adapter. `first_token` is the number of
        tokens that a resumed completion already has.
        """
        return cls(
            request_id=request_id,
            digest=text_digest(*names, prompt),
            prompt_tokens=count_tokens(prompt),
            max_tokens=max_tokens,
            blocks=block_hashes(text_digest(*names, ""), prompt),
            first_token=first_token,
            generated=first_token,
        )

    @property
    def is_ended(self):
        """Whether the stream has finished or was cancelled."""
        return self.phase in (Phase.FINISHED, Phase.CANCELLED)

    @property
    def reserved_tokens(self):
        """KV memory in tokens that the stream needs until its end."""
        return self.prompt_tokens + self.max_tokens


@attrs.frozen
class Token:
    """One generated token; `final` marks the last one of a completion."""

    stream: Stream
    index: int
    final: bool


@attrs.frozen
class RetainedCache:
    """KV cache of an ended attempt or of an import."""

    digest: int
    prompt_tokens: int
    generated: int

    @property
    def tokens(self):
        """Size in tokens."""
        return self.prompt_tokens + self.generated


@attrs.define
class Step:
    """The step in progress; `end` is its end time in seconds."""

    end: float
    # (stream, number of tokens to prefill) pairs.
    prefills: list
    decoding: list


class EngineModel:
    """One simulated engine; `settings` is an EngineStandinSettings."""

    def __init__(self, settings):
        self.settings = settings
        # Factor by which the duration of each step is multiplied.
        self.time_factor = 1.0
        self.running = []
        self.queue = collections.deque()
        self.prefix_cache = PrefixCache(settings.prefix_cache_tokens)
        self.reserved_tokens = 0
        self.generated_tokens = 0
        self.prefilled_tokens = 0
        self._retained_by_digest = collections.OrderedDict()
        self._retained_tokens = 0
        self._streams_by_id = {}
        self._recent_by_id = collections.OrderedDict()
        self._step = None

    @property
    def next_step_end(self):
        """End time of the step in progress in seconds; None when idle."""
        return None if self._step is None else self._step.end

    @property
    def used_tokens(self):
        """KV memory in use in tokens, without the prefix cache."""
        return self.reserved_tokens + self._retained_tokens

    def has_attempt(self, request_id):
        """Return whether an attempt is queued or running."""
        return request_id in self._streams_by_id

    def submit(self, now, stream):
        """
        Add a stream to the queue.

        Raise ValueError if it can never run or its request id is in use.
        """
        if stream.request_id in self._streams_by_id:
            raise ValueError(f"attempt {stream.request_id} is already running")
        if stream.reserved_tokens > self.settings.kv_tokens:
            raise ValueError("request exceeds the KV memory")
        if stream.first_token >= stream.max_tokens:
            raise ValueError("answer to be resumed is complete")
        self._streams_by_id[stream.request_id] = stream
        self.queue.append(stream)
        if self._step is None:
            self._begin_step(now)

    def cancel(self, request_id):
        """Cancel an attempt; return its stream, or None if it is unknown."""
        stream = self._streams_by_id.get(request_id)
        if stream is None:
            return None
        if stream.phase == Phase.QUEUED:
            self.queue.remove(stream)
            del self._streams_by_id[request_id]
        else:
            self._release(stream)
        stream.phase = Phase.CANCELLED
        return stream

    def advance(self, now):
        """Complete all steps that end by `now`; return their tokens."""
        tokens = []
        while self._step is not None and self._step.end <= now:
            step, self._step = self._step, None
            self._complete(step, tokens)
            self._begin_step(step.end)
        return tokens

    def postpone_step(self, now):
        """Make the step in progress end at `now` or later."""
        if self._step is not None:
            self._step.end = max(self._step.end, now)

    def export_cache(self, request_id):
        """Return the KV cache of a running or recent attempt, or None."""
        stream = self._streams_by_id.get(request_id)
        if stream is not None and stream.phase == Phase.RUNNING:
            return RetainedCache(stream.digest, stream.prompt_tokens, stream.generated)
        digest = self._recent_by_id.get(request_id)
        return self._retained_by_digest.get(digest)

    def import_cache(self, cache):
        """Store an imported KV cache; return False if it does not fit."""
        known = self._retained_by_digest.get(cache.digest)
        if known is not None and known.generated >= cache.generated:
            return True
        if self.reserved_tokens + cache.tokens > self.settings.kv_tokens:
            return False
        self._drop_retained(cache.digest)
        self._retained_by_digest[cache.digest] = cache
        self._retained_tokens += cache.tokens
        self._evict_retained()
        return True

    def _admit(self):
        limit = self.settings.kv_tokens
        while self.queue and len(self.running) < self.settings.slots:
            stream = self.queue[0]
            if self.reserved_tokens + stream.reserved_tokens > limit:
                return
            self.queue.popleft()
            stream.phase = Phase.RUNNING
            total = stream.prompt_tokens + stream.first_token
            retained = self._retained_by_digest.get(stream.digest)
            cached = self.prefix_cache.match(stream.blocks)
            if retained is not None:
                cached = max(cached, retained.tokens)
            # The last position is always computed: it yields the next token.
            stream.cached_tokens = min(cached, total - 1)
            stream.prefill_left = total - stream.cached_tokens
            self._drop_retained(stream.digest)
            self.running.append(stream)
            self.reserved_tokens += stream.reserved_tokens
            self._evict_retained()

    def _begin_step(self, now):
        self._admit()
        if not self.running:
            return
        prefills, decoding, budget = [], [], MAX_STEP_PREFILL_TOKENS
        for stream in self.running:
            if stream.prefill_left == 0:
                decoding.append(stream)
            elif budget > 0:
                count = min(budget, stream.prefill_left)
                budget -= count
                prefills.append((stream, count))
        settings = self.settings
        prefilled = MAX_STEP_PREFILL_TOKENS - budget
        duration_s = prefilled / settings.prefill_tokens_per_s
        if decoding:
            further = settings.decode_step_per_stream_ms * (len(decoding) - 1)
            duration_s += (settings.decode_step_ms + further) / 1000
        self._step = Step(now + duration_s * self.time_factor, prefills, decoding)

    def _complete(self, step, tokens):
        for stream in step.decoding:
            if stream.phase == Phase.RUNNING:
                self._generate(stream, tokens)
        for stream, count in step.prefills:
            self.prefilled_tokens += count
            if stream.phase != Phase.RUNNING:
                continue
            stream.prefill_left -= count
            if stream.prefill_left == 0:
                self.prefix_cache.store(stream.blocks)
                self._generate(stream, tokens)

    def _generate(self, stream, tokens):
        index = stream.generated
        stream.generated += 1
        self.generated_tokens += 1
        final = stream.generated == stream.max_tokens
        tokens.append(Token(stream, index, final))
        if final:
            self._release(stream)
            stream.phase = Phase.FINISHED

    def _release(self, stream):
        """Free the slot of a stream and retain its KV cache if it fits."""
        del self._streams_by_id[stream.request_id]
        self.running.remove(stream)
        self.reserved_tokens -= stream.reserved_tokens
        if stream.prefill_left == 0:
            self.import_cache(
                RetainedCache(stream.digest, stream.prompt_tokens, stream.generated)
            )
        self._recent_by_id[stream.request_id] = stream.digest
        while len(self._recent_by_id) > MAX_RECENT_ATTEMPTS:
            self._recent_by_id.popitem(last=False)

    def _drop_retained(self, digest):
        retained = self._retained_by_digest.pop(digest, None)
        if retained is not None:
            self._retained_tokens -= retained.tokens

    def _evict_retained(self):
        while self.used_tokens > self.settings.kv_tokens:
            self._drop_retained(next(iter(self._retained_by_digest)))
