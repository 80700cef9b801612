"""The server list under faults of the store, without a network."""

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


def test_leaving_server_gets_nothing_at_once():
    """Guards a server that drains, or is removed without a word."""
    servers = ServerList()
    servers.apply("s1", 0, make_entry(), 10.0)
    servers.apply("s2", 1, make_entry("s2"), 10.0)
    servers.apply("s1", 2, make_entry(draining=True), 11.0)
    assert usable(servers, 11.0) == ["s2"]
    servers.apply("s2", 3, None, 11.0)
    assert usable(servers, 11.0) == []


def test_lapsed_entries_are_used_until_the_store_was_back_for_a_while():
    """Guards service after an outage in which all entries lapsed."""
    servers = ServerList()
    servers.apply("s1", 0, make_entry(), 10.0)
    servers.apply("s2", 1, make_entry("s2"), 10.0)
    servers.store_recovered(20.0)
    servers.apply("s1", 2, None, 20.1)
    servers.apply("s2", 3, None, 20.1)
    assert usable(servers, 21.9) == ["s1", "s2"]
    servers.apply("s1", 4, make_entry(sequence=2), 21.9)
    # One that is still missing is gone.
    assert usable(servers, 20.0 + ServerList.RECOVERY_GRACE_S) == ["s1"]


def test_snapshot_that_is_older_than_what_is_known_changes_nothing():
    """Guards the list against stale reads."""
    servers = ServerList()
    servers.apply("s1", 5, make_entry(draining=True), 10.0)
    servers.apply("s2", 6, make_entry("s2"), 10.0)
    servers.apply_snapshot([("s1", 3, make_entry())], 4, 11.0)
    assert usable(servers, 11.0) == ["s2"]


def test_snapshot_without_a_server_removes_it():
    """Guards against servers whose removal was deleted with the history."""
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
def test_changes_of_a_server_are_told(fields, changes):
    """Guards what is kept of a server's run against its next run."""
    servers = ServerList()
    servers.apply("s1", 0, make_entry(), 10.0)
    seen = []
    servers.on_change(lambda change, entry: seen.append(change))
    servers.apply("s1", 1, make_entry(**fields), 11.0)
    assert seen == changes


@given(st.permutations(range(6)))
def test_order_of_arrival_does_not_matter(order):
    """Guards hosts that read records late, twice or in another order."""
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
