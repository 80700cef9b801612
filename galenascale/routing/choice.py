"""Argument and result of the router's choice of a server."""

import attrs


@attrs.frozen
class RouteRequest:
    """Requirements of a request; an empty field is no requirement."""

    model: str = ""
    version: str = ""
    adapter: str = ""
    # Hash of the prompt's prefix; None if the prompt is too short for prefix
    # affinity.
    prefix_hash: int | None = None
    # Names of servers to use only if no other has capacity.
    avoid: frozenset = frozenset()
    # Names of the servers to choose from; None for all.
    only: frozenset | None = None


@attrs.frozen
class Choice:
    """A chosen server and how many of its batch streams to preempt for it."""

    server: object
    batch_slots_to_free: int = 0
