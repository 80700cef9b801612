"""Readers and writers of shard streams over the log client."""

from galenascale.shards.client import Shards
from galenascale.shards.follower import ShardFollower
from galenascale.shards.ids import FLEET, make_id, shard_from_id, work_stream
from galenascale.shards.records import make_record

__all__ = [
    "FLEET",
    "ShardFollower",
    "Shards",
    "make_id",
    "make_record",
    "shard_from_id",
    "work_stream",
]
