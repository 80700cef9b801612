"""Blocks prompt parts that crash each server which begins to answer them.

Different requests may share such a part. Every request whose answer had not
begun when its server crashed is a suspect, and so are the parts of its prompt.
Most of them are innocent: they are in the prompts of other requests whose
answers begin. A part is blocked once several servers have crashed under it and
no answer to it has begun since the first of these crashes, at any host.
"""

import collections

import attrs

from galenascale.gateway.crash_evidence import MAX_CRASHES, CrashEvidence

# Crashed servers and different request contents that make a part suspicious
# enough. A sound request that is retried is a single content.
MIN_CRASHES = 3
MIN_CONTENTS = 2
# Of the crashes, those on servers without a request that is blocked already.
# Below it, the part may only have been near a blocked one.
MIN_UNEXPLAINED_CRASHES = 2
# Answers to other parts under suspicion that must have begun since the first
# crash. If none begins, the servers are broken, whatever they are asked.
MIN_OTHER_STARTS = 3
# Times of a begun answer that another host repeats differ by less.
SAME_START_S = 0.05
# A part whose answers began this many seconds before the first crash or later
# is blocked only if its crashes span MIN_CRASH_SPAN_S, as servers that lose
# power together crash under sound parts.
RECENT_START_S = 30.0
MIN_CRASH_SPAN_S = 3.0
# Seconds for which a part is blocked.
BLOCK_TTL_S = 300.0
# Added to the age of a block at each host that passes it on. More than a
# message takes, so that a block does not outlive its time by being repeated.
RELAY_MARGIN_S = 1.0
MAX_RECENT_STARTS = 64
MAX_BLOCKS = 64
MAX_PARTS = 2048
# Seconds between two decisions.
DECISION_INTERVAL_S = 0.05
NEVER = float("-inf")


@attrs.frozen
class Block:
    """A blocked part; times are monotonic seconds."""

    part_key: int
    decided_at: float
    # Time of the first crash that it follows from.
    evidence_from: float
    # Why, for the log; empty if another host decided.
    crashes: int = 0
    contents: int = 0


class SuspectParts:
    """Crashes and begun answers by prompt part, of this and other hosts."""

    def __init__(self):
        self._evidence = CrashEvidence()
        # Runs seen by this host, for its messages to the others.
        self._local_runs = collections.deque(maxlen=MAX_CRASHES)
        # Time of the last begun answer by part, at this and at other hosts.
        self._local_start_by_part = collections.OrderedDict()
        self._remote_start_by_part = collections.OrderedDict()
        # (time, keys of parts) of the last begun answers.
        self._recent_starts = collections.deque(maxlen=MAX_RECENT_STARTS)
        # Of the former, the times that take_news() reported.
        self._announced_start_by_part = collections.OrderedDict()
        self._block_by_part = collections.OrderedDict()
        self._decided_at = NEVER

    # What this host sees.

    def record_start(self, part_keys, now):
        """
        Record that the answer to a prompt began.

        Return the keys of the parts that were blocked and are acquitted.
        """
        if part_keys:
            self._recent_starts.append((now, part_keys))
        return [
            key
            for key in part_keys
            if self._add_start(self._local_start_by_part, key, now)
        ]

    def record_crash(self, run):
        """Record a SuspectRun."""
        self._local_runs.append(run)
        self._evidence.add(run)

    # What other hosts tell.

    def merge_runs(self, runs):
        """Add SuspectRuns that another host saw; return the new ones."""
        return [run for run in runs if self._evidence.add(run)]

    def merge_starts(self, started_at_by_part):
        """Add begun answers at another host; return the acquitted parts."""
        for key, at in started_at_by_part.items():
            if at > self._remote_start_by_part.get(key, NEVER) + SAME_START_S:
                self._recent_starts.append((at, (key,)))
        return [
            key
            for key, at in started_at_by_part.items()
            if self._add_start(self._remote_start_by_part, key, at)
        ]

    def merge_blocks(self, blocks, now):
        """Add Blocks of another host; return those that are new here."""
        return [block for block in blocks if self._merge_block(block, now)]

    def remove_block(self, part_key):
        """Unblock a part; return True if it was blocked."""
        return self._block_by_part.pop(part_key, None) is not None

    # Decisions.

    def blocked_part(self, part_keys, now):
        """Return the key of a blocked part among `part_keys`, or None."""
        if not self._block_by_part:
            return None
        self._expire(now)
        return next((key for key in part_keys if key in self._block_by_part), None)

    def decide(self, now, settle_s):
        """
        Block the parts that the evidence convicts; return new Blocks.

        `settle_s` are the seconds from the first crash within which other
        hosts tell of answers that began.
        """
        if not self._evidence.crashes or now - self._decided_at < DECISION_INTERVAL_S:
            return []
        self._decided_at = now
        self._expire(now)
        blocks = []
        while (block := self._convict(now, settle_s)) is not None:
            self._block(block)
            blocks.append(block)
        return blocks

    def has_crash_since(self, at):
        """Return True if a crash of that time or later is known."""
        return any(crash.at >= at for crash in self._evidence.crashes)

    # For messages to other hosts.

    def take_news(self, part_keys):
        """
        Return True if other hosts should hear of answers that began here.

        That is so if they speak for one of the parts, and neither another host
        nor an earlier call told of it.
        """
        news = [key for key in part_keys if self._is_news(key)]
        for key in news:
            self._announced_start_by_part[key] = self._local_start_by_part[key]
        while len(self._announced_start_by_part) > MAX_PARTS:
            self._announced_start_by_part.popitem(last=False)
        return bool(news)

    def _is_news(self, key):
        local = self._local_start_by_part.get(key, NEVER)
        told = max(
            self._remote_start_by_part.get(key, NEVER),
            self._announced_start_by_part.get(key, NEVER),
        )
        return any(
            _weight_of_start(local, crashed_at) > _weight_of_start(told, crashed_at)
            for crashed_at in self._evidence.crash_times(key)
        )

    def recent_runs(self, now, ttl_s, limit):
        """Return this host's newest SuspectRuns, up to `ttl_s` seconds old."""
        runs = [run for run in self._local_runs if now - run.at <= ttl_s]
        # Parts that never answered come first: the others are acquitted soon.
        runs.sort(key=lambda run: (self._is_new(run), run.at), reverse=True)
        return runs[:limit]

    def suspected_starts(self, limit):
        """Return this host's last starts of parts under suspicion, by key."""
        suspected = self._evidence.part_keys()
        suspected.update(self._block_by_part)
        starts = [
            (self._local_start_by_part[key], key)
            for key in suspected
            if key in self._local_start_by_part
        ]
        starts.sort(reverse=True)
        return {key: at for at, key in starts[:limit]}

    def blocks(self, now):
        """Return the Blocks in force."""
        self._expire(now)
        return list(self._block_by_part.values())

    def _is_new(self, run):
        return any(self._started_at(key) == NEVER for key in run.part_keys)

    def _started_at(self, key):
        return max(
            self._local_start_by_part.get(key, NEVER),
            self._remote_start_by_part.get(key, NEVER),
        )

    def _add_start(self, start_by_part, key, at):
        start_by_part[key] = max(at, start_by_part.get(key, NEVER))
        start_by_part.move_to_end(key)
        while len(start_by_part) > MAX_PARTS:
            start_by_part.popitem(last=False)
        block = self._block_by_part.get(key)
        if block is None or at <= block.evidence_from:
            return False
        del self._block_by_part[key]
        return True

    def _merge_block(self, block, now):
        known = self._block_by_part.get(block.part_key)
        expired = now - block.decided_at > BLOCK_TTL_S
        acquitted = self._started_at(block.part_key) > block.evidence_from
        if known is not None or expired or acquitted:
            return False
        self._block(block)
        return True

    def _block(self, block):
        self._block_by_part[block.part_key] = block
        while len(self._block_by_part) > MAX_BLOCKS:
            self._block_by_part.popitem(last=False)

    def _expire(self, now):
        self._evidence.expire(now)
        for key, block in list(self._block_by_part.items()):
            if now - block.decided_at > BLOCK_TTL_S:
                del self._block_by_part[key]

    def _convict(self, now, settle_s):
        """
        Return the Block that the evidence calls for next, or None.

        Of several parts, one that never answered, then the last in the prompt:
        parts before it are in the prompts of more sound requests.
        """
        candidates = {
            key: evidence
            for key, evidence in self._evidence.by_part(self._started_at).items()
            if now - evidence.first_at >= settle_s and self._is_convicted(key, evidence)
        }
        if not candidates:
            return None
        key, evidence = min(
            candidates.items(),
            key=lambda item: (self._started_at(item[0]) != NEVER, -item[1].depth),
        )
        return Block(
            key, now, evidence.first_at, len(evidence.crashes), len(evidence.contents)
        )

    def _is_convicted(self, key, evidence):
        crashes = evidence.crashes
        if key in self._block_by_part or len(crashes) < MIN_CRASHES:
            return False
        if len(evidence.contents) < MIN_CONTENTS:
            return False
        unexplained = sum(not self._is_explained(crash) for crash in crashes)
        if unexplained < MIN_UNEXPLAINED_CRASHES:
            return False
        first_at = evidence.first_at
        if not self._others_start(first_at):
            return False
        recently_started = self._started_at(key) > first_at - RECENT_START_S
        return not recently_started or evidence.span_s >= MIN_CRASH_SPAN_S

    def _is_explained(self, crash):
        return any(key in self._block_by_part for key in crash.part_keys())

    def _others_start(self, since):
        """Return True if answers to other accused parts began meanwhile."""
        accused = self._evidence.part_keys()
        starts = [keys for at, keys in self._recent_starts if at > since]
        others = sum(not accused.isdisjoint(keys) for keys in starts)
        return others >= MIN_OTHER_STARTS


def _weight_of_start(started_at, crashed_at):
    """Return how much a begun answer speaks for a part under a crash."""
    if started_at >= crashed_at:
        return 2
    return 1 if started_at > crashed_at - RECENT_START_S else 0
