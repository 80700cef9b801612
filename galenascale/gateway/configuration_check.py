"""Problems of a configuration that hosts accept, and changes between two."""

import enum

import attrs

from galenascale.gateway.configuration import RequestKind


class Level(enum.Enum):
    """How much a problem matters."""

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class Problem:
    """Something in a configuration that is wrong or hardly meant."""

    level: Level
    # What has the problem, such as "route chat".
    subject: str
    text: str


@attrs.frozen
class Change:
    """A difference between two configurations."""

    subject: str
    # "added", "removed" or the name of the changed field.
    what: str
    before: object = None
    after: object = None


def _error(subject, text):
    return Problem(Level.ERROR, subject, text)


def _warning(subject, text):
    return Problem(Level.WARNING, subject, text)


def find_problems(configuration, in_force=None):
    """
    Return the Problems of a configuration.

    `in_force` is the one that hosts have, or None if it is not known.
    """
    problems = []
    if in_force is not None and configuration.version <= in_force.version:
        text = f"is not newer than {in_force.version}, so hosts ignore it"
        problems.append(_error(f"version {configuration.version}", text))
    problems += _hidden_routes(configuration.routes)
    for route in configuration.routes:
        problems += _route_problems(route, configuration.services_by_name)
    used = {split.service for route in configuration.routes for split in route.splits}
    for service in configuration.services_by_name.values():
        problems += _service_problems(service, used)
    problems += _tenant_problems(configuration)
    problems += _limit_problems(configuration.limits)
    return problems


def _hidden_routes(routes):
    """Return the problems of routes that another one hides."""
    first_by_match = {}
    names = set()
    for route in routes:
        subject = f"route {route.name}"
        match = (route.host.lower(), route.path_prefix)
        first = first_by_match.setdefault(match, route)
        if first is not route:
            yield _error(
                subject,
                f"never matches: route {first.name} has the same host and prefix",
            )
        if route.name in names:
            yield _warning(subject, "is the name of another route as well")
        names.add(route.name)


def _route_problems(route, services_by_name):
    subject = f"route {route.name}"
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield _error(
            subject, f"never matches whole paths: prefix {prefix!r} needs / at its ends"
        )
    if not any(split.weight > 0 for split in route.splits):
        yield _error(subject, "serves nobody: no service has a weight above 0")
    for split in route.splits:
        if split.service not in services_by_name:
            yield _error(subject, f"names service {split.service}, which is not there")
        if split.weight < 0:
            yield _warning(subject, f"gives service {split.service} a negative weight")
    yield from _route_time_problems(route, subject)
    if route.kind is RequestKind.NON_IDEMPOTENT and route.max_attempts > 1:
        yield _warning(
            subject,
            f"allows {route.max_attempts} attempts, but its requests run once only",
        )


def _route_time_problems(route, subject):
    if route.timeout_s <= 0:
        yield _error(subject, "serves nobody: its timeout is 0")
    elif route.kind is not RequestKind.BATCH and route.timeout_s < route.objective_s:
        yield _warning(
            subject,
            f"ends requests after {route.timeout_s:g} s, before their objective of "
            f"{route.objective_s:g} s",
        )
    if 0 < route.give_up_s < route.due_s:
        yield _warning(
            subject,
            f"gives items up after {route.give_up_s:g} s, before they are due after "
            f"{route.due_s:g} s",
        )


def _service_problems(service, used):
    subject = f"service {service.name}"
    if service.name not in used:
        yield _warning(subject, "gets no requests: no route names it")
    if service.max_connections <= 0:
        yield _error(subject, "serves nobody: it allows no connections")
    engine = service.engine
    if engine is None:
        return
    if engine.slots <= 0:
        yield _error(subject, "serves nobody: its engines have no slots")
    elif 0 < service.max_connections < engine.slots:
        yield _warning(
            subject,
            f"allows {service.max_connections} connections for {engine.slots} slots",
        )
    if 0 < engine.kv_tokens < engine.slots:
        yield _warning(
            subject, f"has memory for {engine.kv_tokens} tokens in {engine.slots} slots"
        )


def _tenant_problems(configuration):
    tenants_by_name = configuration.tenants_by_name
    if tenants_by_name is None:
        return
    owners_by_digest = {}
    for tenant in tenants_by_name.values():
        subject = f"tenant {tenant.name}"
        if not tenant.key_digests:
            yield _warning(subject, "has no key, so nobody can call as this tenant")
        for digest in tenant.key_digests:
            owner = owners_by_digest.setdefault(digest, tenant.name)
            if owner != tenant.name:
                yield _error(subject, f"has a key of tenant {owner} as well")
        if tenant.requests_per_s < 0 or tenant.burst < 0:
            yield _error(subject, "has a negative rate or burst")
        if tenant.burst and not tenant.requests_per_s:
            yield _warning(subject, "has a burst and no rate, so it has no limit")
    if not owners_by_digest:
        for route in configuration.routes:
            if not route.anonymous:
                yield _error(f"route {route.name}", "needs a key, and nobody has one")


def _limit_problems(limits):
    for field in attrs.fields(type(limits)):
        if getattr(limits, field.name) <= 0:
            yield _error("limits", f"{field.name} must be above 0")


def find_changes(before, after):
    """Return the Changes from one configuration to another."""
    changes = _changes_of(
        "route",
        {route.name: route for route in before.routes},
        {route.name: route for route in after.routes},
    )
    changes += _changes_of("service", before.services_by_name, after.services_by_name)
    changes += _changes_of(
        "tenant", before.tenants_by_name or {}, after.tenants_by_name or {}
    )
    if (before.tenants_by_name is None) != (after.tenants_by_name is None):
        what = "removed" if after.tenants_by_name is None else "added"
        changes.append(Change("keys of callers", what))
    return changes + _field_changes("limits", before.limits, after.limits)


def _changes_of(kind, before_by_name, after_by_name):
    changes = []
    for name in sorted(before_by_name.keys() | after_by_name.keys()):
        subject = f"{kind} {name}"
        before, after = before_by_name.get(name), after_by_name.get(name)
        if before is None or after is None:
            changes.append(Change(subject, "added" if before is None else "removed"))
        else:
            changes += _field_changes(subject, before, after)
    return changes


def _field_changes(subject, before, after):
    changes = []
    for field in attrs.fields(type(before)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new:
            continue
        if field.repr:
            changes.append(Change(subject, field.name, _plain(old), _plain(new)))
        else:
            # Digests of keys.
            changes.append(Change(subject, field.name))
    return changes


def _plain(value):
    """Return a value of a field as plain data."""
    if isinstance(value, enum.Enum):
        return value.value
    if attrs.has(type(value)):
        return attrs.asdict(value)
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    return value
