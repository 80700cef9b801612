"""Ids that carry their shard number, and names of streams."""

import uuid

from galenascale.errors import UserError

# Number under which Shards knows the stream of leases and poison verdicts.
FLEET = -1
FLEET_STREAM = "fleet"


def work_stream(shard):
    """Return the name of the stream with the records of a shard."""
    return FLEET_STREAM if shard == FLEET else f"work.{shard}"


def data_stream(shard):
    """Return the name of the stream with the input chunks of a shard."""
    return f"data.{shard}"


def make_id(prefix, shard, suffix=None):
    """Return an id such as `batch_3_<hex>`, with a random suffix if none."""
    return f"{prefix}_{shard}_{suffix or uuid.uuid4().hex}"


def shard_from_id(entity_id, shards):
    """Return the shard number in an id; raise UserError for another form."""
    parts = entity_id.split("_")
    if len(parts) == 3 and parts[1].isdigit() and int(parts[1]) < shards:
        return int(parts[1])
    raise UserError(
        f"id {entity_id!r} does not exist", code="not_found", http_status=404
    )
