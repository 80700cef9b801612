"""What the planner is told about servers and versions, and its orders."""

import enum
from typing import NamedTuple

import attrs

# The size of adapters is not declared; low-rank adapters have at most a few
# percent of the weights.
ADAPTER_SHARE = 0.02


class VersionKey(NamedTuple):
    """One version of a model, the unit of placement."""

    model: str
    version: str


class Action(enum.StrEnum):
    """Orders to backend servers, as docs/backend-api.md names them."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


LOADS = frozenset((Action.LOAD_MODEL, Action.LOAD_ADAPTER))


@attrs.frozen
class VersionNeed:
    """A declared version; `replicas` 0 stands for all servers."""

    key: VersionKey
    weight_bytes: int
    adapters: tuple = ()
    replicas: int = 0

    @property
    def adapter_bytes(self):
        """Memory that one adapter is taken to need."""
        return int(self.weight_bytes * ADAPTER_SHARE)

    @property
    def total_bytes(self):
        """Memory for the weights and all adapters."""
        return self.weight_bytes + self.adapter_bytes * len(self.adapters)


@attrs.frozen
class ServerFacts:
    """
    One server of a service.

    `usable` is false for a server that is leaving or silent for long: it
    holds nothing that counts and gets no orders.
    """

    server_id: str
    failure_domain: str
    memory_bytes: int
    role: str = "mixed"
    wanted_role: str = "mixed"
    # Names of loaded adapters by VersionKey.
    adapters_by_key: dict = attrs.field(factory=dict)
    usable: bool = True

    def holds(self, key):
        """Return True if the version is loaded."""
        return key in self.adapters_by_key


@attrs.frozen
class Order:
    """One order to a server; `size_bytes` is what a load has to fetch."""

    action: Action
    key: VersionKey = VersionKey("", "")
    # Name of an adapter or a role.
    name: str = ""
    size_bytes: int = 0

    @property
    def target(self):
        """The target as servers expect it; an adapter is MODEL:ADAPTER."""
        if self.action == Action.SET_ROLE:
            return self.name
        return f"{self.key.model}:{self.name}" if self.name else self.key.model

    @property
    def is_load(self):
        """True for orders that use the weight store."""
        return self.action in LOADS


class Sizes:
    """Memory of versions; undeclared ones keep their last declared size."""

    def __init__(self, default_bytes):
        self._default = VersionNeed(VersionKey("", ""), default_bytes)
        self._needs_by_key = {}

    def update(self, needs):
        """Take over the sizes of declared versions."""
        self._needs_by_key.update((need.key, need) for need in needs)

    def keep(self, keys):
        """Forget versions that are neither declared nor loaded."""
        for key in self._needs_by_key.keys() - keys:
            del self._needs_by_key[key]

    def used_bytes(self, key, adapters):
        """Return the memory of a loaded version with its adapters."""
        need = self._needs_by_key.get(key, self._default)
        return need.weight_bytes + need.adapter_bytes * len(adapters)

    def kept_bytes(self, key, adapters):
        """Return the memory of a version once its own adapters are loaded."""
        need = self._needs_by_key.get(key, self._default)
        missing = set(need.adapters).difference(adapters)
        return self.used_bytes(key, adapters) + need.adapter_bytes * len(missing)

    def free_bytes(self, server):
        """Return the memory of a server that nothing uses."""
        used = sum(
            self.used_bytes(key, adapters)
            for key, adapters in server.adapters_by_key.items()
        )
        return server.memory_bytes - used
