"""Contents of requests that were running on servers which crashed.

A request may crash each server that runs it, and its caller sends it again, at
any host. Every request on a crashed server is a suspect once; a content that
was on several crashed servers is not run again.
"""

import attrs

# Crashes of servers after which a content is not run again.
MAX_CRASHES = 3
# Seconds for which a crash is remembered.
CRASH_TTL_S = 60.0
# Crashes that a host tells the others at most.
MAX_SHARED_CRASHES = 40


@attrs.define
class _Crash:
    key: int
    until: float


class CrashHistory:
    """Crashes that this host saw, and what the others tell."""

    def __init__(self):
        self._local = []
        self._remote_keys_by_host = {}

    def add(self, key, now):
        """Note that a server crashed while it ran a content."""
        self._local.append(_Crash(key, now + CRASH_TTL_S))

    def set_remote_crashes(self, host_id, keys):
        """Replace what another host tells; each crash is named once."""
        if keys:
            self._remote_keys_by_host[host_id] = tuple(keys)
        else:
            self._remote_keys_by_host.pop(host_id, None)

    def recent_keys(self, now):
        """Return the contents of the crashes that this host saw."""
        self._local = [crash for crash in self._local if now <= crash.until]
        return [crash.key for crash in self._local[-MAX_SHARED_CRASHES:]]

    def is_blocked(self, key, now):
        """Return True for a content that must not run again."""
        count = self.recent_keys(now).count(key)
        count += sum(keys.count(key) for keys in self._remote_keys_by_host.values())
        return count >= MAX_CRASHES
