"""Crashes of servers, and which prompt parts were on them."""

import collections

import attrs

# Seconds for which crashes count together.
CRASH_TTL_S = 60.0
# Hosts see the same crash of a server within this many seconds.
SAME_CRASH_S = 2.0
MAX_CRASHES = 64
MAX_RUNS_OF_CRASH = 16


@attrs.frozen
class SuspectRun:
    """A request whose server crashed before its answer began."""

    # Key of the server's run.
    server_key: int
    content_key: int
    # Keys of the parts of the prompt, in order.
    part_keys: tuple[int, ...]
    # Monotonic time in seconds.
    at: float


@attrs.define
class ServerCrash:
    """The crash of a server, and the suspects that were on it."""

    server_key: int
    at: float
    # Keys of the parts, by the content key of the request.
    parts_by_content: dict = attrs.field(factory=dict)

    def part_keys(self):
        """Yield the keys of the parts of all suspects."""
        for parts in self.parts_by_content.values():
            yield from parts


@attrs.define
class PartEvidence:
    """The crashes under one part."""

    crashes: list = attrs.field(factory=list)
    contents: set = attrs.field(factory=set)
    # Largest position of the part in a prompt.
    depth: int = 0

    @property
    def first_at(self):
        """Return the time of the first crash."""
        return min(crash.at for crash in self.crashes)

    @property
    def span_s(self):
        """Return the seconds from the first to the last crash."""
        return max(crash.at for crash in self.crashes) - self.first_at


class CrashEvidence:
    """Recent crashes of servers, as all hosts saw them."""

    def __init__(self):
        self.crashes = collections.deque(maxlen=MAX_CRASHES)
        # Filled by crash_times(), None after a change.
        self._times_by_part = None

    def add(self, run):
        """Add a SuspectRun, seen by any host; return True if it is new."""
        crash = self._find_crash(run)
        if crash is None:
            crash = ServerCrash(run.server_key, run.at)
            self.crashes.append(crash)
        elif run.content_key in crash.parts_by_content:
            return False
        if len(crash.parts_by_content) >= MAX_RUNS_OF_CRASH:
            return False
        crash.parts_by_content[run.content_key] = run.part_keys
        self._times_by_part = None
        return True

    def _find_crash(self, run):
        for crash in self.crashes:
            same = crash.server_key == run.server_key
            if same and abs(crash.at - run.at) < SAME_CRASH_S:
                return crash
        return None

    def part_keys(self):
        """Return the set of all parts that were on crashed servers."""
        return {key for crash in self.crashes for key in crash.part_keys()}

    def expire(self, now):
        """Forget crashes that are too old to count with others."""
        kept = [crash for crash in self.crashes if now - crash.at <= CRASH_TTL_S]
        if len(kept) < len(self.crashes):
            self.crashes = collections.deque(kept, maxlen=MAX_CRASHES)
            self._times_by_part = None

    def crash_times(self, key):
        """Return the times of the crashes under a part."""
        if self._times_by_part is None:
            self._times_by_part = {}
            for crash in self.crashes:
                for part in set(crash.part_keys()):
                    self._times_by_part.setdefault(part, []).append(crash.at)
        return self._times_by_part.get(key, ())

    def by_part(self, started_at):
        """
        Return the PartEvidence by part.

        `started_at(key)` returns the time of the last begun answer to a part;
        crashes before it are no evidence.
        """
        evidence_by_part = {}
        for crash in self.crashes:
            counted = set()
            for content, parts in crash.parts_by_content.items():
                for depth, key in enumerate(parts):
                    if crash.at <= started_at(key):
                        continue
                    evidence = evidence_by_part.setdefault(key, PartEvidence())
                    evidence.contents.add(content)
                    evidence.depth = max(evidence.depth, depth)
                    if key not in counted:
                        counted.add(key)
                        evidence.crashes.append(crash)
        return evidence_by_part
