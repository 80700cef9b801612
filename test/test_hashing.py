"""Rendezvous hashing: text keys, and owners that change only if needed."""

from hypothesis import given
from hypothesis import strategies as st

from galenascale.hashing import rendezvous_owner, rendezvous_rank, shard_of


@given(key=st.text(), nodes=st.sets(st.text(), min_size=2))
def test_owner_ranks_first_and_stays_when_other_nodes_leave(key, nodes):
    # Regression: xxhash 4 rejects str, so every text key raised TypeError.
    first, *others = rendezvous_rank(key, nodes)
    assert rendezvous_owner(key, nodes) == first
    assert rendezvous_owner(key, nodes - {others[0]}) == first
    assert rendezvous_rank(key, nodes - {first}) == others
    assert 0 <= shard_of(key, 4) < 4
