"""Hashing for ownership, shards and content digests."""

import hashlib

import xxhash


def rendezvous_rank(key, node_ids):
    """Return the node ids ordered by rendezvous weight, the owner first."""
    return sorted(
        node_ids,
        key=lambda node_id: (
            xxhash.xxh3_64_intdigest(f"{key}\0{node_id}".encode()),
            node_id,
        ),
        reverse=True,
    )


def rendezvous_owner(key, node_ids):
    """Return the node id with the highest weight, or None for no nodes."""
    return max(
        node_ids,
        key=lambda node_id: (
            xxhash.xxh3_64_intdigest(f"{key}\0{node_id}".encode()),
            node_id,
        ),
        default=None,
    )


def shard_of(key, shards):
    """Return the shard number of a key, from 0 to shards - 1."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shards


def content_digest(*parts):
    """Return the SHA-256 hex digest of the parts and their lengths."""
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()
