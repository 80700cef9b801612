"""Placement of versions, adapters and roles on backend servers.

The planner is pure; the service gives its orders under leases.
"""

from galenascale.placement.facts import (
    Action,
    Order,
    ServerFacts,
    VersionKey,
    VersionNeed,
)
from galenascale.placement.leases import Leases
from galenascale.placement.planner import Planner
from galenascale.placement.service import PlacementService

__all__ = [
    "Action",
    "Leases",
    "Order",
    "PlacementService",
    "Planner",
    "ServerFacts",
    "VersionKey",
    "VersionNeed",
]
