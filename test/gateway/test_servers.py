"""The server list during store faults, without a network."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.gateway.servers import ServerEntry, ServerList


def make_entry(server_id="s1", **fields):
    """Return an entry of a ready server."""
    entry = ServerEntry(server_id, "llm", "10.0.0.1:80", "a", 8, False, 1, 1)
    return attrs.evolve(entry, **fields)


def usable(servers, now):
    """Return the ids of the usable servers."""
    return sorted(entry.server_id for entry in servers.usable("llm", now))


def test_draining_or_removed_server_is_unusable_at_once():
    """Guards against requests to draining or removed servers."""
    servers = ServerList()
    servers.apply("s1", 0, make_entry(), 10.0)
    servers.apply("s2", 1, make_entry("s2"), 10.0)
    servers.apply("s1", 2, make_entry(draining=True), 11.0)
    assert usable(servers, 11.0) == ["s2"]
    servers.apply("s2", 3, None, 11.0)
    assert usable(servers, 11.0) == []


@pytest.mark.parametrize(
    "registered_again",
    # Equal registrations are decoded once, into the same object.
    [lambda entry: make_entry(sequence=2), lambda entry: entry],
)
def test_expired_entries_stay_usable_for_grace_period_after_outage(registered_again):
    """Guards service after an outage in which all entries expired."""
    servers = ServerList()
    entry = make_entry()
    servers.apply("s1", 0, entry, 10.0)
    servers.apply("s2", 1, make_entry("s2"), 10.0)
    servers.store_recovered(20.0)
    servers.apply("s1", 2, None, 20.1)
    servers.apply("s2", 3, None, 20.1)
    assert usable(servers, 21.9) == ["s1", "s2"]
    servers.apply("s1", 4, registered_again(entry), 21.9)
    # A server that has not registered again is removed.
    assert usable(servers, 20.0 + ServerList.RECOVERY_GRACE_S) == ["s1"]


def test_stale_snapshot_changes_nothing():
    """Guards the server list against stale reads."""
    servers = ServerList()
    servers.apply("s1", 5, make_entry(draining=True), 10.0)
    servers.apply("s2", 6, make_entry("s2"), 10.0)
    servers.apply_snapshot([("s1", 3, make_entry())], 4, 11.0)
    assert usable(servers, 11.0) == ["s2"]


def test_server_missing_from_snapshot_is_removed():
    """Guards against removals that the store trimmed before the read."""
    servers = ServerList()
    servers.apply("s1", 0, make_entry(), 10.0)
    servers.apply_snapshot([("s2", 8, make_entry("s2"))], 9, 11.0)
    assert usable(servers, 11.0) == ["s2"]


@pytest.mark.parametrize(
    ("fields", "changes"),
    [
        ({"sequence": 2}, []),
        ({"draining": True}, ["draining"]),
        ({"started_ms": 2}, ["removed", "added"]),
        ({"address": "10.0.0.2:80"}, ["removed", "added"]),
    ],
)
def test_listeners_are_called_on_changes(fields, changes):
    """Guards against state of one server run being used for the next."""
    servers = ServerList()
    servers.apply("s1", 0, make_entry(), 10.0)
    seen = []
    servers.on_change(lambda change, entry: seen.append(change))
    servers.apply("s1", 1, make_entry(**fields), 11.0)
    assert seen == changes


@given(st.permutations(range(6)))
def test_result_is_independent_of_record_order(order):
    """Guards hosts that read records late or out of order."""
    records = [
        make_entry(),
        make_entry(draining=True),
        None,
        make_entry(started_ms=2),
        make_entry(started_ms=2, sequence=2),
        make_entry(started_ms=2, draining=True, sequence=3),
    ]
    servers = ServerList()
    for offset in order:
        servers.apply("s1", offset, records[offset], 10.0)
    (entry,) = servers.all_entries()
    assert entry == records[5]
