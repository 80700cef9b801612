"""Blocks requests whose content repeatedly crashes servers.

A request may crash each server that runs it, while its caller retries it at
any host. Every request that ran on a crashed server is recorded once, by the
hash of its content; content recorded for several crashes is not run again.
"""

import attrs

from galenascale.gateway.admission import fingerprint

# Number of server crashes after which content is blocked.
MAX_CRASHES = 3
# Seconds for which a crash is remembered.
CRASH_TTL_S = 60.0
# Maximum number of crashes in a message to the other hosts.
MAX_SHARED_CRASHES = 40


@attrs.frozen
class InterruptedRun:
    """A run whose server closed the connection before the end."""

    request_id: str
    # Hash of the request content.
    content_key: int
    # Ids of the parts of the prompt that other requests may share.
    shared_parts: tuple[str, ...]
    # Their keys in messages between hosts.
    part_keys: tuple[int, ...]
    # Whether a server had begun to write the answer.
    begun: bool
    # Monotonic time in seconds.
    at: float
    # Whether it was a run of an item of a job.
    batch: bool = False

    @classmethod
    def from_request(cls, request, *, begun, at, batch=False):
        """Return the InterruptedRun of a CallerRequest."""
        return cls(
            request.request_id,
            fingerprint(request),
            request.shared_parts,
            request.part_keys,
            begun,
            at,
            batch,
        )

    @property
    def is_suspect(self):
        """
        Return True if the run may have caused the crash.

        Items of jobs are never held to be the cause, so they stay owed.
        """
        return not self.begun and not self.batch


@attrs.define
class _Crash:
    # Hash of the request content.
    key: int
    # Monotonic time in seconds.
    until: float


class CrashHistory:
    """Recent crashes seen by this host and reported by the others."""

    def __init__(self):
        self._local = []
        # (keys, time of the report) by host.
        self._remote_by_host = {}

    def add(self, key, now):
        """Record that a server crashed while running this content."""
        self._local.append(_Crash(key, now + CRASH_TTL_S))

    def set_remote_crashes(self, host_id, keys, now):
        """
        Replace the crashes that another host reports.

        `keys` holds one content key for each crash.
        """
        if keys:
            self._remote_by_host[host_id] = (tuple(keys), now)
        else:
            self._remote_by_host.pop(host_id, None)

    def recent_keys(self, now):
        """Return the content keys of the recent crashes seen by this host."""
        self._local = [crash for crash in self._local if now <= crash.until]
        return [crash.key for crash in self._local[-MAX_SHARED_CRASHES:]]

    def is_blocked(self, key, now):
        """Return True if content must not run again."""
        count = self.recent_keys(now).count(key)
        for keys, reported_at in self._remote_by_host.values():
            # A host that is lost takes nothing back.
            if now - reported_at <= CRASH_TTL_S:
                count += keys.count(key)
        return count >= MAX_CRASHES


def block_reason(context, content_key, part_keys, now):
    """Return why a request must not run, or None if it may."""
    if context.crashes.is_blocked(content_key, now):
        return "request content crashes servers"
    part_key = context.suspects.blocked_part(part_keys, now)
    return None if part_key is None else f"prompt part {part_key} crashes servers"
