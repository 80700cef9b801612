"""Chooses the service that runs an item whose route is split."""

import math

import xxhash

_HASH_RANGE = 1 << 64


def choose_service(route, item_key, has_servers):
    """
    Return the service of a Route for an item, or None if it has none.

    Each item stays with its service while the weights and services stay, as
    another one could not continue its output. The shares of many items follow
    the weights (weighted rendezvous hashing). `has_servers` says whether a
    service can run anything; it is asked only if there is a choice.
    """
    splits = [split for split in route.splits if split.weight > 0]
    if len(splits) > 1:
        splits = [split for split in splits if has_servers(split.service)] or splits
    chosen = max(splits, key=lambda split: _score(split, item_key), default=None)
    return None if chosen is None else chosen.service


def allows(route, service):
    """Return True if a Route, or None, sends requests to a service."""
    return route is not None and any(
        split.service == service and split.weight > 0 for split in route.splits
    )


def _score(split, item_key):
    digest = xxhash.xxh64_intdigest(f"{item_key} {split.service}".encode())
    return -split.weight / math.log((digest + 0.5) / _HASH_RANGE)
