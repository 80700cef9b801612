"""Gauges of an entry host's configuration, readiness and membership.

They are computed when `/metrics` is read, and `status` shows the same values.
"""

import math

import attrs


@attrs.frozen
class MembershipCounts:
    """Hosts and servers as this host sees them, itself included."""

    live_hosts: int
    leaving_hosts: int
    failure_domains: int
    usable_servers: int
    unusable_servers: int


def membership_counts(host):
    """Return the MembershipCounts of a running host."""
    now = host.clock.monotonic()
    infos = host.membership.live_hosts(now)
    servers = host.config.current.servers_by_id
    usable = sum(host.membership.servers.is_usable(now, name) for name in servers)
    return MembershipCounts(
        live_hosts=sum(info.state == "live" for info in infos),
        leaving_hosts=sum(info.state == "leaving" for info in infos),
        failure_domains=len({info.failure_domain for info in infos}),
        usable_servers=usable,
        unusable_servers=len(servers) - usable,
    )


def register_gauges(host):
    """Add the gauges to the metrics of a host."""

    def age_s():
        age_s = host.config.age_s()
        return math.nan if age_s is None else age_s

    for name, text, read in (
        (
            "config_version",
            "Version of the configuration in force, -1 before the first.",
            lambda: host.config.current.version,
        ),
        (
            "config_age_seconds",
            "Time since that version was known to be the newest.",
            age_s,
        ),
        (
            "config_gap",
            "1 while records are missing between the host and the log.",
            lambda: host.config.has_gap,
        ),
        ("ready", "1 while the host takes requests.", host.is_ready),
        ("stopping", "1 during a planned stop.", lambda: host.stopping.started),
        (
            "unrecorded_outcomes",
            "Batch outcomes that are not known to be in the log.",
            lambda: host.reporter.unrecorded,
        ),
    ):
        host.metrics.gauge(name, text).set_function(read)
    members = host.metrics.gauge(
        "members", "Hosts, domains and servers in this host's view.", ("kind",)
    )
    for field in attrs.fields(MembershipCounts):
        members.labels(field.name).set_function(
            lambda name=field.name: getattr(membership_counts(host), name)
        )
