"""Why servers with free slots get none of the requests that wait."""

import enum

import attrs


class Obstacle(enum.Enum):
    """What keeps a request from a server with a free slot."""

    AVOIDED = "avoided"
    MEMORY = "memory"
    HELD = "held"
    LIMIT = "limit"
    REFUSED = "refused"
    # The free slots are kept for online requests.
    RESERVE = "reserve"


@attrs.frozen
class IdleServer:
    """A server with free slots that does not get the first request."""

    key: int
    free: int
    obstacle: Obstacle
    # Tokens of its limit, and those that the request needs; None without one.
    tokens: float | None = None
    needed_tokens: float | None = None


@attrs.frozen
class IdleServers:
    """The idle servers of a pool in which a request waits."""

    # The first request in the order in which they are served.
    batch: bool
    waited_s: float
    servers: tuple[IdleServer, ...]


def find_idle_servers(servers, request, reserve, now):
    """
    Return the IdleServers of ServerSlots for a SlotRequest, or None.

    `reserve` is the number of free slots that are kept from items.
    """
    is_reserved = request.batch and servers.free_count() <= reserve
    idle = []
    for key, free in servers.free_by_key().items():
        obstacle = servers.obstacle(key, request, now)
        if obstacle is None and is_reserved:
            obstacle = Obstacle.RESERVE
        if obstacle is None:
            # It is about to start.
            return None
        idle.append(IdleServer(key, free, obstacle, *servers.pace_of(key, request)))
    if not idle:
        return None
    return IdleServers(request.batch, now - request.queued_at, tuple(idle))
