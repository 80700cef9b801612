"""Hashing for ownership, shards and content digests."""

import bisect
import functools
import hashlib

import xxhash


def _digest(text):
    """Return a 64-bit digest; xxhash 4 takes bytes only."""
    return xxhash.xxh3_64_intdigest(text.encode())


def rendezvous_rank(key, node_ids):
    """Return the node ids ordered by rendezvous weight, the owner first."""
    return sorted(
        node_ids,
        key=lambda node_id: (_digest(f"{key}\0{node_id}"), node_id),
        reverse=True,
    )


def rendezvous_owner(key, node_ids):
    """Return the node id with the highest weight, or None for no nodes."""
    return max(
        node_ids,
        key=lambda node_id: (_digest(f"{key}\0{node_id}"), node_id),
        default=None,
    )


class HashRing:
    """
    Chooses one of some nodes for each of many slots.

    Like rendezvous hashing it moves few slots when a node comes or goes, but a
    choice takes a search in a sorted list instead of a hash for each node.
    """

    # More points spread the slots more evenly over the nodes.
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
        """Return the ring of a tuple of nodes, one made before if possible."""
        return HashRing(node_ids)

    def owner(self, name, number):
        """Return the node of a numbered slot; None without nodes."""
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
    """Return the shard number of a key, from 0 to shards - 1."""
    return _digest(key) % shards


def content_digest(*parts):
    """Return the SHA-256 hex digest of the parts and their lengths."""
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()
