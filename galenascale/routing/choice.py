"""What is asked of the router and what it answers."""

import attrs


@attrs.frozen
class RouteRequest:
    """What a request needs; empty fields do not matter."""

    model: str = ""
    version: str = ""
    adapter: str = ""
    # Hash of the prompt's prefix; None for prompts too short to matter.
    prefix_hash: int | None = None
    # Servers to use only if no other has capacity.
    avoid: frozenset = frozenset()
    # The only servers to use; None for any.
    only: frozenset | None = None


@attrs.frozen
class Choice:
    """A chosen server and the number of its batch slots to preempt."""

    server: object
    batch_slots_to_free: int = 0
