"""How many connections the listeners of a host accept."""

import resource

import attrs

from galenascale.gateway.caller_memory import MEGABYTE

# Parts of the descriptors for the connections of callers, each of whose
# requests needs one more, for those of one internal listener, and for
# connections that wait to be accepted. The rest is for the store, other hosts
# and idle connections to backend servers.
CALLER_PART = 1 / 4
INTERNAL_PART = 1 / 16
BACKLOG_PART = 1 / 8
# Part of the host's memory for connections, and the memory in bytes of one
# whose request is under way.
MEMORY_PART = 1 / 4
CONNECTION_BYTES = 48 << 10
MIN_CONNECTIONS = 16
# Of a host whose memory is unknown.
MAX_CONNECTIONS = 4096
MAX_BACKLOG = 1024


@attrs.frozen
class ConnectionLimits:
    """Most connections at once, by listener."""

    callers: int
    # Of each listener for readiness, other hosts and metrics.
    internal: int
    # Connections that the kernel queues until they are accepted.
    backlog: int

    @classmethod
    def from_config(cls, settings):
        """Return the limits by the settings of a host."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if settings.host_descriptors:
            descriptors = min(descriptors, settings.host_descriptors)
        callers = settings.max_caller_connections or max(
            MIN_CONNECTIONS,
            min(int(descriptors * CALLER_PART), _fitting(settings.host_memory_mb)),
        )
        return cls(
            callers=callers,
            internal=max(MIN_CONNECTIONS, int(descriptors * INTERNAL_PART)),
            backlog=max(
                MIN_CONNECTIONS, min(int(descriptors * BACKLOG_PART), MAX_BACKLOG)
            ),
        )


def _fitting(host_memory_mb):
    """Return how many connections fit into the memory of a host."""
    if not host_memory_mb:
        return MAX_CONNECTIONS
    return int(host_memory_mb * MEGABYTE * MEMORY_PART / CONNECTION_BYTES)


def choose_idle(connections):
    """
    Return the connection without progress for longest, or None.

    Those whose request is whole and not yet answered do not give way.
    """
    return min(
        (each for each in connections if each.held.on_evict and not each.held.evicted),
        key=lambda each: each.held.last_at,
        default=None,
    )
