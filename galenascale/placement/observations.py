"""What a host observed of servers and demand, as facts for the planner."""

import math

import attrs

from galenascale.placement.facts import ServerFacts, VersionKey, VersionNeed

# Time in which half of the weight of a past request is forgotten.
DEMAND_HALF_LIFE_S = 30.0


class DemandMix:
    """Shares of models in the requests that this host takes."""

    def __init__(self):
        self._weights_by_model = {}
        self._at = 0.0

    def note(self, model, now):
        """Count a request for a model."""
        # Weights grow with time instead of all being aged at each request.
        if now - self._at > 20 * DEMAND_HALF_LIFE_S:
            factor = math.exp2(-(now - self._at) / DEMAND_HALF_LIFE_S)
            for name in self._weights_by_model:
                self._weights_by_model[name] *= factor
            self._at = now
        weight = math.exp2((now - self._at) / DEMAND_HALF_LIFE_S)
        self._weights_by_model[model] = self._weights_by_model.get(model, 0.0) + weight

    def shares(self, models):
        """Return the share of each model among the recent requests."""
        weights = {name: self._weights_by_model.get(name, 0.0) for name in models}
        total = sum(weights.values())
        if not total:
            return dict.fromkeys(weights, 0.0)
        return {name: weight / total for name, weight in weights.items()}


@attrs.frozen
class Seen:
    """Last ServerReport of a server and when it arrived."""

    report: object
    at: float


def facts_from(declaration, report, usable):
    """Return the ServerFacts of a declared server; no report holds nothing."""
    adapters_by_key = {}
    for name, version in report.models if report else ():
        adapters = report.adapters_by_version.get((name, version), ())
        adapters_by_key[VersionKey(name, version)] = frozenset(adapters)
    return ServerFacts(
        declaration.name,
        declaration.failure_domain,
        declaration.memory_bytes,
        report.role if report else declaration.role,
        declaration.role,
        adapters_by_key,
        usable,
    )


class Observations:
    """Reports of all servers by id."""

    def __init__(self, lost_after_s):
        self._lost_after_s = lost_after_s
        self._seen_by_id = {}

    def note(self, report, now):
        """Take over a report received now."""
        self._seen_by_id[report.server_id] = Seen(report, now)

    def keep(self, server_ids):
        """Forget servers that are not declared any more."""
        for server_id in self._seen_by_id.keys() - server_ids:
            del self._seen_by_id[server_id]

    def facts(self, declaration, now, leaving, round_s=0.0):
        """
        Return the ServerFacts of a server.

        Reports may arrive only every `round_s`, the time of a poll of all
        servers, and a server is lost when it missed two of them.
        """
        seen = self._seen_by_id.get(declaration.name)
        limit_s = max(self._lost_after_s, 2 * round_s)
        usable = seen is not None and now - seen.at <= limit_s
        usable = usable and not leaving and not seen.report.leaving
        return facts_from(declaration, seen and seen.report, usable)


def needs_from(models, counts_by_key):
    """Return the VersionNeeds of ModelDeclarations."""
    return [
        VersionNeed(
            key,
            model.weight_bytes,
            tuple(model.adapters),
            counts_by_key.get(key, model.replicas),
        )
        for model in models
        for key in version_keys(model)
    ]


def version_keys(model):
    """Return the VersionKeys of a model; one without a name if undeclared."""
    names = [version.name for version in model.versions] or [""]
    return [VersionKey(model.name, name) for name in names]


def demand_by_key(models, shares_by_model, online_load):
    """Split the requests on a service's servers over its versions."""
    demand = {}
    for model in models:
        total = sum(max(0, version.weight) for version in model.versions) or 1
        load = online_load * shares_by_model.get(model.name, 0.0)
        if not model.versions:
            demand[VersionKey(model.name, "")] = load
        for version in model.versions:
            key = VersionKey(model.name, version.name)
            demand[key] = load * max(0, version.weight) / total
    return demand
