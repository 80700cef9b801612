"""Choice of a backend server for a request, without I/O or a clock."""

from galenascale.routing.budget import RetryBudget
from galenascale.routing.choice import Choice, RouteRequest
from galenascale.routing.router import Router
from galenascale.routing.versions import choose_version

__all__ = ["Choice", "RetryBudget", "RouteRequest", "Router", "choose_version"]
