"""Typed answers of backend servers and their decoding from JSON."""

import attrs
import cattrs
import orjson

from galenascale.errors import BackendError, Execution
from galenascale.requests import Chunk, ServerReport
from galenascale.settings_files import CONVERTER


@attrs.frozen
class CancelResult:
    """Whether an attempt was found, and the tokens that it had generated."""

    cancelled: bool
    tokens: int = 0


@attrs.frozen
class ServerState:
    """A report without lag and the highest fencing number seen."""

    report: ServerReport
    fencing: int = -1


@attrs.frozen
class KvExport:
    """A KV cache that another engine can fetch."""

    kv_id: str
    tokens: int = 0


@attrs.frozen
class CacheEvent:
    """A prefix that entered or left an engine's cache."""

    seq: int
    type: str
    prefix: str
    tokens: int = 0


@attrs.frozen
class CacheEvents:
    """Cache events after a sequence number; `next` continues the reading."""

    events: list[CacheEvent]
    next: int


@attrs.frozen
class PlainAnswer:
    """Answer of a plain service."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class _LoadedModel:
    name: str
    version: str = ""
    adapters: list[str] = attrs.field(factory=list)


@attrs.frozen
class _Load:
    server_id: str
    at_ms: int = 0
    running: int = 0
    queued: int = 0
    slots: int = 0
    kv_used_tokens: int = 0
    kv_tokens: int = 0
    role: str = "mixed"
    leaving: bool = False
    models: list[_LoadedModel] = attrs.field(factory=list)
    fencing: int = -1


def _make_converter():
    """Return a converter that checks types and skips unknown fields."""
    converter = cattrs.Converter()
    for kind in (bool, int, float, str):
        converter.register_structure_hook(kind, CONVERTER.get_structure_hook(kind))
    return converter


_LENIENT = _make_converter()


def decode_answer(body, kind, step, peer):
    """Return the answer of the given class; raise BackendError for junk."""
    try:
        return _LENIENT.structure(orjson.loads(body), kind)
    except Exception as error:
        raise BackendError(
            f"answer of a backend server cannot be decoded: {error!r}",
            code="bad_answer",
            step=step,
            peer=peer,
            execution=Execution.MAY_HAVE_RUN,
        ) from error


def decode_state(body, step, peer):
    """Return the ServerState that a body of /state or /load holds."""
    load = decode_answer(body, _Load, step, peer)
    fields = attrs.asdict(load, recurse=False)
    fencing = fields.pop("fencing")
    fields["models"] = tuple((model.name, model.version) for model in load.models)
    by_version = {
        (model.name, model.version): tuple(model.adapters) for model in load.models
    }
    by_model = {}
    for (name, _), adapters in by_version.items():
        by_model[name] = tuple(dict.fromkeys((*by_model.get(name, ()), *adapters)))
    report = ServerReport(
        **fields, adapters_by_model=by_model, adapters_by_version=by_version
    )
    return ServerState(report, fencing)


def decode_chunk(data, next_index):
    """
    Return the Chunk of one event; `next_index` numbers unnumbered tokens.

    A chunk without text (the role, the usage) has the index of the token that
    would follow. Raise ValueError, TypeError, KeyError or AttributeError for
    anything but a chunk of OpenAI's shape.
    """
    value = orjson.loads(data)
    text, reason = "", None
    choices = value["choices"]
    if choices:
        choice = choices[0]
        delta = choice.get("delta")
        text = (choice.get("text") if delta is None else delta.get("content")) or ""
        reason = choice.get("finish_reason")
    if not isinstance(text, str):
        raise TypeError("text of a chunk is not a string")
    index = value.get("token_index", next_index)
    if not isinstance(index, int):
        raise TypeError("token_index is not an integer")
    return Chunk(index, text, data, reason, value.get("usage"))
