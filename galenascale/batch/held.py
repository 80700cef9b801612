"""Chunks that this host holds under a lease, and their items."""

import collections
import functools

import attrs
import orjson

from galenascale.batch_lines import parse_line
from galenascale.poison import fingerprint
from galenascale.whole_answers import make_whole_answer

# A slot of the own server is free again after about one online answer.
RESUME_WAIT_S = 2.0
# Leases without progress after which a chunk with intents is given up.
MAX_STUCK_LEASES = 3


@attrs.define(eq=False)
class Item:
    """One item with what its earlier runs left."""

    chunk: "HeldChunk"
    # Index in its job.
    number: int
    custom_id: str
    url: str
    body: dict
    # Runs that reached a backend server and failed.
    attempts: int = 0
    # Tokens of an interrupted answer and their text.
    tokens: int = 0
    text: str = ""
    # Server that interrupted the item and may still have its KV cache, and
    # the monotonic time of it.
    last_server: str = ""
    interrupted_at: float = 0.0
    # True once it has to run alone, since it may have crashed a server.
    suspect: bool = False

    @functools.cached_property
    def content(self):
        """Fingerprint of what the item asks for."""
        return fingerprint(self.url, self.body)

    @property
    def key(self):
        """Identify the item over all jobs."""
        return (self.chunk.grant.job_id, self.number)


@attrs.define(eq=False)
class HeldChunk:
    """A granted chunk; its lease is counted on this host's clock."""

    shard: int
    grant: object
    # Monotonic time from which the lease counts: before the claim was asked.
    leased_at: float
    # Offset of the current claim; a renewal replaces it.
    claim_offset: int = -1
    open_items: set = attrs.field(factory=set)
    # False once another host's claim was seen in place of this one's.
    current: bool = True
    # Start times of the runs of its items, by item.
    run_starts: dict = attrs.field(factory=dict)
    all_items: list = attrs.field(factory=list)
    # Leases without progress before the current one.
    stuck_leases: int = 0
    # Progress when the current lease began.
    progress_mark: tuple = ()
    # Claim under which intents of non-idempotent items were recorded.
    intent_offsets: dict = attrs.field(factory=dict)
    # Claims under which an intent of an item was submitted, by item.
    tried_offsets: dict = attrs.field(factory=dict)
    # Items that were sent to a server and may have run there.
    dispatched: set = attrs.field(factory=set)

    @classmethod
    def from_grant(cls, shard, grant, leased_at):
        """Return the chunk that a WorkGrant describes."""
        return cls(shard, grant, leased_at, grant.claim_offset, set(grant.remaining))

    def lease_left_s(self, now):
        """Return the seconds until the lease ends."""
        return self.leased_at + self.grant.lease_ms / 1000 - now

    def started(self, item, now):
        """Note that a run of one of its items started."""
        self.run_starts[item.number] = now

    def ended(self, item):
        """Note that a run of one of its items ended."""
        self.run_starts.pop(item.number, None)

    def renewed(self, now, claim_offset):
        """Begin a new lease."""
        self.stuck_leases = self.stuck_leases + 1 if self.is_stuck() else 0
        self.leased_at, self.claim_offset = now, claim_offset
        self.progress_mark = self.progress()

    def progress(self):
        """Return what changes whenever an item gets on."""
        return len(self.open_items), sum(item.tokens for item in self.all_items)

    def may_release(self):
        """
        Return True if another host should try the items instead.

        The next holder has to take an item with an intent for one that may
        have run, so a chunk with intents is kept for some leases more.
        """
        has_intent = not self.open_items.isdisjoint(self.tried_offsets)
        limit = MAX_STUCK_LEASES if has_intent else 0
        return self.is_stuck() and self.stuck_leases >= limit

    def is_stuck(self):
        """
        Return True if no item got on since the lease began.

        Runs that only fail to connect are no progress; one that has lasted
        since before the lease may be a call that takes long.
        """
        if not self.open_items or self.progress() != self.progress_mark:
            return False
        return all(start >= self.leased_at for start in self.run_starts.values())

    def items(self, content):
        """Return the chunk's open items out of its lines of JSON."""
        lines = content.split(b"\n")
        first = self.grant.ref.first_item
        result = []
        for number in self.grant.remaining:
            line = parse_line(lines[number - first], number + 1)
            result.append(Item(self, number, line.custom_id, line.url, line.body))
        self.all_items = result
        self.progress_mark = self.progress()
        return result


class ReadyItems:
    """
    Items that wait for a free slot, by service.

    An interrupted item resumes cheaply where its KV cache is: one token is
    computed. Elsewhere its prompt and tokens are prefilled again, which a
    fresh item needs for its prompt only. So it waits `RESUME_WAIT_S` for its
    own server while fresh items go to the others.
    """

    def __init__(self):
        self._fresh_by_service = collections.defaultdict(collections.deque)
        self._interrupted_by_service = collections.defaultdict(collections.deque)

    def count(self, service):
        """Return the number of items of a service."""
        queues = (self._fresh_by_service, self._interrupted_by_service)
        return sum(len(queue[service]) for queue in queues)

    def add(self, service, items):
        """Add items behind those that wait."""
        self._fresh_by_service[service].extend(items)

    def put_back(self, service, item, server_id="", now=0.0):
        """Add an item that was interrupted on a server."""
        item.last_server, item.interrupted_at = server_id, now
        self._interrupted_by_service[service].append(item)

    def take(self, service, server_id="", now=0.0):
        """Return the next item for a server, None for none."""
        interrupted = self._interrupted_by_service[service]
        for item in interrupted:
            waited = now - item.interrupted_at >= RESUME_WAIT_S
            if waited or item.last_server == server_id:
                interrupted.remove(item)
                return item
        if self._fresh_by_service[service]:
            return self._fresh_by_service[service].popleft()
        return interrupted.popleft() if interrupted else None

    def drop(self, predicate):
        """Remove the items for which the predicate is true."""
        for queues in (self._fresh_by_service, self._interrupted_by_service):
            for service, items in queues.items():
                queues[service] = collections.deque(
                    item for item in items if not predicate(item)
                )


def answer_body(item, last_chunk, usage):
    """
    Return the JSON body of a completion out of its last chunk and text.

    `usage` is the engine's, which counts the tokens of resumed answers too; an
    engine that sends none leaves the number of prompt tokens unknown.
    """
    return make_whole_answer(
        orjson.loads(last_chunk.data or b"{}"),
        is_chat=item.url.endswith("/chat/completions"),
        model=item.body.get("model", ""),
        text=item.text,
        finish_reason=last_chunk.finish_reason,
        usage={"completion_tokens": item.tokens, **(usage or {})},
    )
