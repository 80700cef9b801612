"""What one entry host knows about backend servers.

A backend server names no incarnation. The process that said "leaving" has
ended once a connection to the server fails; an answer to a request started
after that comes from a new process, and only such an answer ends "leaving".
"""

import math

import attrs

# Words of peers about a time this shortly after a server's return are taken
# for old ones: their age is exact only up to pauses of sender and receiver.
RETURN_GRACE_S = 5.0

# A report without "leaving" that was made this long after the signs of leaving
# comes from a new process, though no connection failed between the two.
REPORT_HOLD_S = 10.0

# "Leaving" is passed on for this long; hosts that start later hear it from
# the server itself.
TELL_LEAVING_S = 60.0
MAX_TOLD_LEAVING = 32


@attrs.define
class ServerSigns:
    """Signs of one server; times are monotonic seconds of this host."""

    leaving_since: float | None = None
    failed_at: float | None = None
    returned_at: float = -math.inf
    # Time until which a peer's word of a crash is believed.
    crash_told_until: float = -math.inf


@attrs.frozen
class PeerLoad:
    """In-flight counts that one peer reported for a server."""

    at: float
    load: object


class ServerView:
    """Signs of servers by id and the load that peers put on them."""

    def __init__(self, word_ttl_s=2.0):
        self._word_ttl_s = word_ttl_s
        self._signs_by_id = {}
        self._loads_by_server = {}

    def _signs(self, server_id):
        return self._signs_by_id.setdefault(server_id, ServerSigns())

    def leaving(self, now, server_id):
        """Record the server's own "leaving", in an answer or a report."""
        signs = self._signs(server_id)
        signs.leaving_since = min(now, signs.leaving_since or now)

    def failed(self, now, server_id):
        """Record a connection that was refused or reset."""
        self._signs(server_id).failed_at = now

    def answered(self, now, server_id, started_at):
        """
        Record an answer without "leaving" to a request of `started_at`.

        It counts only if the request was started after the last failure.
        """
        signs = self._signs_by_id.get(server_id)
        if signs is None:
            return
        if signs.failed_at is not None and started_at > signs.failed_at:
            signs.failed_at = None
            signs.returned_at = now
            signs.leaving_since = None
        signs.crash_told_until = min(signs.crash_told_until, started_at)

    def reported(self, now, server_id, as_of):
        """Record a report without "leaving" of the state at `as_of`."""
        signs = self._signs_by_id.get(server_id)
        if signs is None or signs.leaving_since is None:
            return
        if as_of >= signs.leaving_since + REPORT_HOLD_S:
            signs.leaving_since = None
            signs.returned_at = now

    def told_leaving(self, now, server_id, age_s=None):
        """Record a peer's "leaving" of an age; None if the peer gave none."""
        signs = self._signs(server_id)
        if age_s is None:
            if signs.returned_at > -math.inf:
                return
            age_s = 0.0
        at = now - max(age_s, 0.0)
        if at >= signs.returned_at + RETURN_GRACE_S:
            signs.leaving_since = min(at, signs.leaving_since or at)

    def told_load(self, now, sender_id, load):
        """Record the load that a peer itself puts on a server."""
        by_sender = self._loads_by_server.setdefault(load.server_id, {})
        by_sender[sender_id] = PeerLoad(now, load)
        if load.leaving:
            self.told_leaving(now, load.server_id)
        if load.crashed:
            self._signs(load.server_id).crash_told_until = now + self._word_ttl_s

    def peer_load(self, now, server_id):
        """Return what peers have in flight as (online, batch) counts."""
        online = batch = 0
        for item in self._loads_by_server.get(server_id, {}).values():
            if now - item.at < self._word_ttl_s:
                online += item.load.online_in_flight
                batch += item.load.batch_in_flight
        return online, batch

    def is_leaving(self, server_id):
        """Tell whether the server's present incarnation is leaving."""
        signs = self._signs_by_id.get(server_id)
        return signs is not None and signs.leaving_since is not None

    def is_usable(self, now, server_id):
        """Tell whether new work may go to the server."""
        signs = self._signs_by_id.get(server_id)
        return signs is None or (
            signs.leaving_since is None
            and signs.failed_at is None
            and signs.crash_told_until <= now
        )

    def recent_leaving(self, now):
        """Return (server id, age in s) of the latest leaving servers."""
        recent = sorted(
            (now - signs.leaving_since, server_id)
            for server_id, signs in self._signs_by_id.items()
            if signs.leaving_since is not None
            and now - signs.leaving_since < TELL_LEAVING_S
        )
        return [(server_id, age) for age, server_id in recent[:MAX_TOLD_LEAVING]]

    def prune(self, now, known_ids):
        """Drop outdated loads and servers that no configuration names."""
        self._signs_by_id = {
            key: signs
            for key, signs in self._signs_by_id.items()
            if key in known_ids
            or (signs.leaving_since or -math.inf) > now - TELL_LEAVING_S
        }
        for server_id, by_sender in list(self._loads_by_server.items()):
            for sender_id, item in list(by_sender.items()):
                if now - item.at >= self._word_ttl_s:
                    del by_sender[sender_id]
            if not by_sender:
                del self._loads_by_server[server_id]
