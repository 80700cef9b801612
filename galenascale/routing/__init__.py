"""Choice of a backend server for a request; decision core without I/O."""

from galenascale.routing.budget import RetryBudget
from galenascale.routing.choice import Choice, RouteRequest
from galenascale.routing.router import Router
from galenascale.routing.versions import choose_version

__all__ = ["Choice", "RetryBudget", "RouteRequest", "Router", "choose_version"]
