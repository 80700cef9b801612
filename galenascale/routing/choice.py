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
    """A chosen server; `give_way` slots of it are to be freed from batch."""

    server: object
    give_way: int = 0
