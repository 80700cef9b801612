"""Rendezvous hashing, ring hashing, shard numbers and content digests."""

import bisect
import functools
import hashlib

import xxhash


def _digest(text):
    """Return a 64-bit digest; xxhash 4 accepts only bytes."""
    return xxhash.xxh3_64_intdigest(text.encode())


def rendezvous_rank(key, node_ids):
    """Return the node ids by descending rendezvous weight, the owner first."""
    return sorted(
        node_ids,
        key=lambda node_id: (_digest(f"{key}\0{node_id}"), node_id),
        reverse=True,
    )


def rendezvous_owner(key, node_ids):
    """Return the node id with the highest weight, or None without nodes."""
    return max(
        node_ids,
        key=lambda node_id: (_digest(f"{key}\0{node_id}"), node_id),
        default=None,
    )


class HashRing:
    """
    Consistent hashing that assigns each of many slots to a node.

    As with rendezvous hashing, few slots move when a node joins or leaves, but
    a lookup is a binary search instead of one hash per node.
    """

    # Virtual nodes per node; more spread the slots more evenly over the nodes.
    POINTS_PER_NODE = 16

    def __init__(self, node_ids):
        points = sorted(
            point for node_id in node_ids for point in _ring_points(node_id)
        )
        self._digests = [digest for digest, _ in points]
        self._node_ids = [node_id for _, node_id in points]

    @staticmethod
    @functools.lru_cache(16)
    def cached(node_ids):
        """Return the ring of a tuple of node ids, cached if possible."""
        return HashRing(node_ids)

    def owner(self, name, number):
        """Return the node id of a numbered slot, or None without nodes."""
        if not self._digests:
            return None
        index = bisect.bisect(self._digests, _slot_digest(name, number))
        return self._node_ids[index % len(self._node_ids)]


@functools.lru_cache(1 << 12)
def _ring_points(node_id):
    return tuple(
        (_digest(f"{node_id}\0{number}"), node_id)
        for number in range(HashRing.POINTS_PER_NODE)
    )


@functools.lru_cache(1 << 16)
def _slot_digest(name, number):
    return _digest(f"{name}/{number}")


def shard_of(key, shards):
    """Return the shard number of a key, from 0 to `shards` - 1."""
    return _digest(key) % shards


def content_digest(*parts):
    """Return the SHA-256 hex digest of parts, each preceded by its length."""
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()
