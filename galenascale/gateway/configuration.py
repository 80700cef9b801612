"""The operator's configuration: routes, services and limits of callers."""

import enum

import attrs


class RequestKind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


@attrs.frozen
class Split:
    """Share of a route's requests that a service gets."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where the requests under a path prefix of a host go, and how."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    splits: tuple[Split, ...]
    # Longest time for which a request may be kept waiting, in seconds.
    timeout_s: float
    # Time in which an answer (a stream's first event) is wanted, in seconds.
    objective_s: float
    # Backend servers to which one request may be sent.
    attempts: int = 1
    # 0 is the most urgent.
    priority: int = 0
    # A broken stream may go on at another backend server.
    resumable: bool = False
    # Longest pause between two events that is still on time, in seconds.
    gap_objective_s: float = 0.0
    # Batch: time after submission at which all results are due, in seconds.
    due_s: float = 0.0
    # Batch: time after submission after which items may be given up, in
    # seconds.
    give_up_s: float = 0.0
    # Batch: tokens of accepted items that may be open at a time; 0 for no
    # limit.
    max_open_tokens: int = 0

    @property
    def repeatable(self):
        """Return True if a request may run more than once."""
        return self.kind in (RequestKind.IDEMPOTENT, RequestKind.BATCH) or (
            self.kind is RequestKind.STREAMING and self.resumable
        )


@attrs.frozen
class Engine:
    """What the engines of a service can do."""

    slots: int
    kv_tokens: int


@attrs.frozen
class Service:
    """A group of backend servers with the same function."""

    name: str
    # Connections that one backend server accepts from all hosts together.
    max_connections: int
    engine: Engine | None = None


@attrs.frozen
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Configuration:
    """One whole version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, Service]
    limits: CallerLimits = CallerLimits()
    # The bytes from which it was decoded, for other hosts.
    source: bytes = attrs.field(default=b"", repr=False)


class RouteTable:
    """Finds the route of a request by host and longest path prefix."""

    def __init__(self, routes):
        self._routes_by_host = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for group in self._routes_by_host.values():
            group.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host, path):
        """Return the route with the longest prefix of the path, or None."""
        name = host.lower()
        group = self._routes_by_host.get(name)
        if group is None:
            group = self._routes_by_host.get(name.partition(":")[0], ())
        for route in group:
            if path.startswith(route.path_prefix):
                return route
        return None


class ConfigurationState:
    """The newest configuration that this host knows; it never goes back."""

    def __init__(self):
        self.current = None
        self.table = RouteTable(())
        # Monotonic time in seconds of the last change.
        self.changed_at = None

    @property
    def version(self):
        """Return the version in force, 0 before the first."""
        return self.current.version if self.current else 0

    def install(self, configuration, now):
        """Put a newer configuration in force; return whether it is newer."""
        if configuration.version <= self.version and self.current is not None:
            return False
        self.current = configuration
        self.table = RouteTable(configuration.routes)
        self.changed_at = now
        return True
