"""Routes of items, which run on batch routes only."""

from galenascale.errors import UserError
from galenascale.gateway.authentication import ANONYMOUS
from galenascale.gateway.configuration import RequestKind


def find_item_route(configuration, host, target):
    """
    Return the Route on which an item runs, or None if it has none.

    Requests of other routes than batch routes may not be repeated as items
    are. `configuration` is the ConfigurationState.
    """
    route = configuration.table.find(host, target.partition("?")[0])
    if route is None or route.kind is not RequestKind.BATCH:
        return None
    return route


def check_item_routes(configuration, job):
    """
    Raise UserError (400) for a new Job of which an item cannot run.

    An item of a caller without a key cannot run where a key is needed.
    """
    has_no_key = configuration.tenants is not None and job.tenant == ANONYMOUS
    for number, item in enumerate(job.items):
        route = find_item_route(configuration, job.host, item.path)
        if route is None:
            _refuse(number, "no batch route for its field Path")
        if has_no_key and not route.anonymous:
            _refuse(number, "the route of its field Path needs a key")


def _refuse(number, reason):
    raise UserError(f"job is not valid: item {number}: {reason}", step="read_job")
