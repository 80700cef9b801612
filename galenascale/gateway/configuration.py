"""The operator's configuration: routes, services and caller limits."""

import enum

import attrs

from galenascale.key_table import KeyTable


class RequestKind(enum.Enum):
    """Kind of a route's requests; it decides if they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


@attrs.frozen
class TrafficSplit:
    """Share of a route's requests that is sent to a service."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Routing and limits of the requests under a host's path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    splits: tuple[TrafficSplit, ...]
    # Timeout of a request, in seconds.
    timeout_s: float
    # Latency objective of the answer (of a stream's first event), in seconds.
    objective_s: float
    # Maximum number of backend servers to which one request may be sent.
    max_attempts: int = 1
    # 0 is the highest priority.
    priority: int = 0
    # Requests need no key and belong to no tenant.
    anonymous: bool = False
    # An interrupted stream may resume on another backend server.
    resumable: bool = False
    # Objective for the time between two stream events, in seconds.
    gap_objective_s: float = 0.0
    # Batch: deadline of all results, in seconds after submission.
    due_s: float = 0.0
    # Batch: time after which items may be abandoned, in seconds after
    # submission.
    give_up_s: float = 0.0
    # Batch: maximum tokens of accepted unfinished items; 0 means no limit.
    max_open_tokens: int = 0

    @property
    def repeatable(self):
        """Return True if a request may be executed more than once."""
        return self.kind in (RequestKind.IDEMPOTENT, RequestKind.BATCH) or (
            self.kind is RequestKind.STREAMING and self.resumable
        )


@attrs.frozen
class Engine:
    """Capacity of one engine of a service."""

    slots: int
    kv_tokens: int


@attrs.frozen
class Service:
    """A group of interchangeable backend servers."""

    name: str
    # Maximum connections to one backend server from all hosts together.
    max_connections: int
    engine: Engine | None = None


@attrs.frozen
class CallerLimits:
    """Size limits and timeouts of caller connections."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Tenant:
    """A team whose callers identify themselves by keys."""

    name: str
    # SHA-256 hex digests of its keys.
    key_digests: tuple[str, ...] = attrs.field(default=(), repr=False)
    # Replaces the priority of the route; None to keep it.
    priority: int | None = None
    # Requests per second over all hosts; 0 for no limit.
    requests_per_s: float = 0.0
    # Requests that may come at once in addition.
    burst: float = 0.0


@attrs.frozen
class Configuration:
    """One complete version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, Service]
    limits: CallerLimits = CallerLimits()
    # None if callers need no keys at all.
    tenants_by_name: dict[str, Tenant] | None = None
    # The encoded configuration without keys, for hosts that cannot reach the
    # store.
    source: bytes = attrs.field(default=b"", repr=False)


class RouteTable:
    """Looks up routes by host name and longest path prefix."""

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


class TenantTable:
    """Looks up tenants by the keys of their callers."""

    def __init__(self, tenants_by_name):
        self._tenants_by_name = tenants_by_name
        self._keys = KeyTable(
            {name: tenant.key_digests for name, tenant in tenants_by_name.items()}
        )

    def find(self, key):
        """Return the Tenant with a key, given as bytes, or None."""
        name = self._keys.find(key)
        return None if name is None else self._tenants_by_name[name]


class ConfigurationState:
    """The newest known configuration; older versions are ignored."""

    def __init__(self):
        self.current = None
        self.table = RouteTable(())
        # None if callers need no keys.
        self.tenants = None

    @property
    def version(self):
        """Return the installed version, 0 before the first."""
        return self.current.version if self.current else 0

    @property
    def caller_limits(self):
        """Return the CallerLimits in force, the defaults before the first."""
        return self.current.limits if self.current else CallerLimits()

    def tenant(self, name):
        """Return the Tenant with a name, or None."""
        if self.current is None or self.current.tenants_by_name is None:
            return None
        return self.current.tenants_by_name.get(name)

    def install(self, configuration):
        """Install a configuration; return False if it is not newer."""
        if configuration.version <= self.version and self.current is not None:
            return False
        self.current = configuration
        self.table = RouteTable(configuration.routes)
        tenants_by_name = configuration.tenants_by_name
        self.tenants = None if tenants_by_name is None else TenantTable(tenants_by_name)
        return True
