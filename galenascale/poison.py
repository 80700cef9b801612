"""Suspects and verdicts for requests that crash backend servers.

Decision core without I/O. At every time the crashes that a content is charged
with plus the servers that run it are at most `MAX_CRASHES`, so no order of
events lets it crash more servers. A content that has finished is trusted with
any number of servers until it is in flight on one that crashes.
"""

import enum
from collections import Counter, OrderedDict

import attrs
import orjson

from galenascale.generated.messages import PoisonVerdict
from galenascale.hashing import content_digest

MAX_CRASHES = 2
SUSPECT_MS = 600_000
CONTAINED_MS = 3_600_000
MAX_TRUSTED = 8192
MAX_VERDICTS = 8192
# Fields of a body that do not change what the engine computes.
NEUTRAL_FIELDS = frozenset(
    ("stream", "stream_options", "user", "metadata", "store", "service_tier")
)


class Standing(enum.StrEnum):
    """What is known about a content."""

    UNKNOWN = "unknown"
    TRUSTED = "trusted"
    SUSPECT = "suspect"
    CONTAINED = "contained"


@attrs.frozen
class RunRule:
    """Where a content may run: `isolated`, or only on servers in `only`."""

    allowed: bool
    isolated: bool = False
    only: frozenset | None = None


def fingerprint(endpoint, body):
    """Return the digest of a request's content, without ids and options."""
    content = {key: body[key] for key in body if key not in NEUTRAL_FIELDS}
    return content_digest(endpoint, orjson.dumps(content, option=orjson.OPT_SORT_KEYS))


class PoisonTracker:
    """Standing of contents of one service, as one host sees it."""

    def __init__(self, service_name=""):
        self.service_name = service_name
        self._verdicts_by_fingerprint = OrderedDict()
        self._trusted = OrderedDict()
        # fingerprint -> {attempt id: server id}
        self._in_flight = {}
        # Attempts whose crash was already charged by a copy on that server.
        self._charged = set()

    def standing(self, content, now_ms):
        """Return the Standing of a fingerprint."""
        verdict = self._verdict(content, now_ms)
        if verdict is not None:
            return Standing.CONTAINED if verdict.contained else Standing.SUSPECT
        return Standing.TRUSTED if content in self._trusted else Standing.UNKNOWN

    def rule(self, content, now_ms):
        """Return the RunRule for another run of a content."""
        standing = self.standing(content, now_ms)
        servers = frozenset(self._in_flight.get(content, {}).values())
        if standing == Standing.CONTAINED:
            return RunRule(False)
        if standing == Standing.SUSPECT:
            return RunRule(not servers, isolated=True)
        if standing == Standing.UNKNOWN and len(servers) >= MAX_CRASHES:
            return RunRule(True, only=servers)
        return RunRule(True)

    def started(self, content, attempt_id, server_id):
        """Note that an attempt was sent to a server."""
        self._in_flight.setdefault(content, {})[attempt_id] = server_id

    def ended(self, content, attempt_id):
        """Note that an attempt ended and says nothing about its content."""
        attempts = self._in_flight.get(content, {})
        attempts.pop(attempt_id, None)
        self._charged.discard(attempt_id)
        if not attempts:
            self._in_flight.pop(content, None)

    def finished(self, content, attempt_id, now_ms):
        """Note a finished run; return the verdict that clears a suspect."""
        self.ended(content, attempt_id)
        verdict = self._verdict(content, now_ms)
        if verdict is not None and verdict.contained:
            return None
        self._trust(content)
        if verdict is None:
            return None
        del self._verdicts_by_fingerprint[content]
        return PoisonVerdict(
            fingerprint=content, service_name=self.service_name, created_ms=now_ms
        )

    def crashed(self, content, attempt_id, now_ms):
        """Note that the server of an attempt crashed; return the verdict."""
        attempts = self._in_flight.get(content, {})
        server_id = attempts.get(attempt_id)
        already = attempt_id in self._charged
        if server_id is not None and not already:
            self._charged.update(
                other for other, server in attempts.items() if server == server_id
            )
        self.ended(content, attempt_id)
        if server_id is None or already:
            return self._verdict(content, now_ms)
        known = self._verdict(content, now_ms)
        servers = [*(known.crashed_servers if known else ()), server_id]
        return self._store(content, servers, now_ms)

    def merge(self, verdict, now_ms):
        """Apply a verdict of another host or of the log."""
        content = verdict.fingerprint
        known = self._verdict(content, now_ms)
        if not verdict.crashed_servers and not verdict.contained:
            if known and not known.contained and known.created_ms <= verdict.created_ms:
                del self._verdicts_by_fingerprint[content]
                self._trust(content)
            return
        if verdict.expires_ms <= now_ms:
            return
        counts = Counter(known.crashed_servers if known else ())
        servers = list((counts | Counter(verdict.crashed_servers)).elements())
        contained = verdict.contained or bool(known and known.contained)
        self._store(content, servers, now_ms, contained)

    def verdicts(self, now_ms):
        """Return the verdicts in force, for new peers and snapshots."""
        contents = list(self._verdicts_by_fingerprint)
        found = (self._verdict(content, now_ms) for content in contents)
        return [verdict for verdict in found if verdict is not None]

    def _verdict(self, content, now_ms):
        verdict = self._verdicts_by_fingerprint.get(content)
        if verdict is not None and verdict.expires_ms <= now_ms:
            del self._verdicts_by_fingerprint[content]
            return None
        return verdict

    def _store(self, content, servers, now_ms, contained=False):
        contained = contained or len(servers) >= MAX_CRASHES
        self._trusted.pop(content, None)
        verdict = PoisonVerdict(
            fingerprint=content,
            service_name=self.service_name,
            crashed_servers=sorted(servers),
            created_ms=now_ms,
            expires_ms=now_ms + (CONTAINED_MS if contained else SUSPECT_MS),
            contained=contained,
        )
        self._verdicts_by_fingerprint[content] = verdict
        self._verdicts_by_fingerprint.move_to_end(content)
        while len(self._verdicts_by_fingerprint) > MAX_VERDICTS:
            self._verdicts_by_fingerprint.popitem(last=False)
        return verdict

    def _trust(self, content):
        self._trusted[content] = True
        self._trusted.move_to_end(content)
        while len(self._trusted) > MAX_TRUSTED:
            self._trusted.popitem(last=False)
