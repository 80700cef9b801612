"""Typed requests and answer pieces that the parts of the online path share."""

import attrs


@attrs.define
class OnlineRequest:
    """One caller's request for a completion."""

    request_id: str
    tenant: str
    # "/v1/chat/completions" or "/v1/completions"
    endpoint: str
    model: str
    # The caller's JSON body, checked.
    body: dict
    # Monotonic time in seconds after which the answer is useless.
    deadline: float
    stream: bool = False


@attrs.frozen
class Chunk:
    """One piece of an answer, in the order of `index`."""

    index: int
    text: str
    # The engine's JSON object as it came, for relaying without re-encoding.
    data: bytes
    finish_reason: str | None = None
    usage: dict | None = None


@attrs.frozen
class ServerReport:
    """One load report of a backend server; it lags behind its state."""

    server_id: str
    at_ms: int = 0
    running: int = 0
    queued: int = 0
    slots: int = 0
    kv_used_tokens: int = 0
    kv_tokens: int = 0
    role: str = "mixed"
    leaving: bool = False
    # Tuples of (model, version); adapters by model.
    models: tuple = ()
    adapters_by_model: dict = attrs.field(factory=dict)
    # Adapters by (model, version), as servers report them.
    adapters_by_version: dict = attrs.field(factory=dict)
