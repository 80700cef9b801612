"""Secrets that are never shown, keys kept apart, decoders of junk."""

import asyncio
import contextlib
import inspect
import json
import logging

import aiohttp
import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale import codec, config_snapshots, config_state, declarations
from galenascale.batch_lines import parse_line
from galenascale.embedded import EmbeddedDeployment, key_digest
from galenascale.engine_answers import (
    CacheEvents,
    decode_answer,
    decode_chunk,
    decode_state,
)
from galenascale.errors import GalenascaleError
from galenascale.generated import messages
from galenascale.http_api.limits import decode_object
from galenascale.http_api.operator import ChangeRequest, parse_entries
from galenascale.http_api.validation import check_completion
from galenascale.ledger import ShardState, apply
from galenascale.peers.auth import Signer
from galenascale.settings import check_host_settings
from galenascale.settings_files import structure
from galenascale.sse import EventParser
from test.test_stopping import CHAT, post, small_deployment, until

SECRETS = {
    "tenant key": "sk-tenant-5b1f0c77e2",
    "operator key": "op-operator-90a1d3c4e8",
    "peer secret": "peer-secret-27c9b5aa61",
    "wrong key": "sk-wrong-6e2d8f4b13",
    "content": "passport-X4471902-of-a-guest",
    "idempotency key": "idem-3a9c41f7d0",
}


async def use_everything(session, embedded, settings):
    """Send requests with secrets; return the texts of errors and status."""
    url = next(iter(embedded.hosts_by_id.values())).settings.url
    texts = []
    chat = CHAT | {"messages": [{"role": "user", "content": SECRETS["content"]}]}
    tenant = {"Authorization": f"Bearer {SECRETS['tenant key']}"}
    operator = {"Authorization": f"Bearer {SECRETS['operator key']}"}
    wrong = {"Authorization": f"Bearer {SECRETS['wrong key']}"}
    for method, path, headers, body, expected in (
        ("POST", "/v1/chat/completions", tenant, chat | {"max_tokens": 4}, 200),
        ("POST", "/v1/chat/completions", tenant, chat | {"temperature": "x"}, 400),
        ("POST", "/v1/chat/completions", tenant, chat | {"model": "none"}, 404),
        # Keys of one kind are worth nothing in place of the other.
        ("POST", "/v1/chat/completions", operator, chat, 401),
        ("POST", "/v1/chat/completions", wrong, chat, 401),
        ("GET", "/operator/v1/status", tenant, None, 401),
        ("GET", "/operator/v1/config", wrong, None, 401),
        ("POST", "/operator/v1/config", tenant, {}, 401),
        ("GET", "/metrics", tenant, None, 401),
        ("POST", "/operator/v1/config", operator, {"entries": "junk"}, 400),
        ("GET", "/operator/v1/status", operator, None, 200),
        ("GET", "/metrics", operator, None, 200),
        ("GET", "/v1/batches/batch_0_none", tenant, None, 404),
    ):
        async with session.request(
            method, url + path, headers=headers, json=body
        ) as response:
            text = await response.text()
        assert response.status == expected, (path, text)
        # The answer to a chat may repeat it; everything else may not.
        texts.append("" if response.status == 200 and body else text)
    session.headers.update(tenant)
    key = SECRETS["idempotency key"]
    assert (await post(session, url, SECRETS["content"], key))[0] == 200
    code, text = await post(session, url, "another body", key)
    assert code == 409
    return [*texts, text]


async def test_no_secret_is_shown(caplog):
    """Guards logs at debug level, metrics, status and errors."""
    caplog.set_level(logging.DEBUG)
    caplog.set_level(logging.DEBUG, logger="galenascale")
    deployment = small_deployment()
    settings = attrs.evolve(
        deployment.settings,
        caller_key=SECRETS["tenant key"],
        operator_key=SECRETS["operator key"],
    )
    tenants = [item for item in deployment.declarations if item["kind"] == "tenant"]
    others = [item for item in deployment.declarations if item["kind"] != "tenant"]
    digest = key_digest(SECRETS["tenant key"])
    tenants = [tenants[0] | {"key_digests": [digest]}]
    embedded = EmbeddedDeployment(
        attrs.evolve(deployment, settings=settings, declarations=others + tenants)
    )
    async with asyncio.timeout(60), embedded, aiohttp.ClientSession() as session:
        for host in embedded.hosts_by_id.values():
            host.peering._signer.secret = SECRETS["peer secret"].encode()
        hosts = list(embedded.hosts_by_id.values())
        texts = await use_everything(session, embedded, settings)
        await until(lambda: len(hosts[0].peering.live_ids()) == 3)
        # A failing server and a refused peer are logged too.
        hosts[1].peering._signer.secret = b"another secret, of a stranger"
        embedded.platform.faults.append = "down"
        await asyncio.gather(hosts[1].peering.gossip.round(), return_exceptions=True)
        texts += [repr(host.peering._signer) for host in hosts]
    assert "Refused a message" in caplog.text
    shown = "\n".join([caplog.text, *texts])
    for name, secret in SECRETS.items():
        assert secret not in shown, name
    assert digest not in shown


MESSAGE_TYPES = [
    kind
    for _, kind in inspect.getmembers(messages, inspect.isclass)
    if hasattr(kind, "thrift_spec")
]


def _shard(data):
    batch = codec.decode(messages.LogBatch, data)
    state = ShardState()
    for record in batch.records:
        apply(state, 0, record)


def _snapshot(data):
    assembler = config_snapshots.Assembler()
    for part in config_snapshots.parts_of(data)[0]:
        assembler.add(part)


def _config(data):
    config_state.from_snapshot(codec.decode(messages.ConfigSnapshot, data))


def _host_settings(data):
    check_host_settings(structure(decode_object(data), messages.HostSettings, "f"), "f")


def _operator_change(data):
    parse_entries(structure(decode_object(data), ChangeRequest, "change"))


def _chunk(data):
    # The errors that the engine client takes for a broken stream.
    with contextlib.suppress(ValueError, TypeError, KeyError, AttributeError):
        decode_chunk(data, 0)


def _peer_headers(data):
    text = data.decode("latin-1")
    signer = Signer("h1", b"secret", None)
    names = ("X-Peer-Sender", "X-Peer-Time", "X-Peer-Nonce", "X-Peer-Signature")
    signer.check_request("gossip", dict.fromkeys(names, text), data)


DECODERS = {
    "messages": lambda data: [codec.decode(kind, data) for kind in MESSAGE_TYPES],
    "config append": lambda data: config_state.apply_body(
        config_state.ConfigState(), 0, data
    ),
    "config snapshot": _config,
    "snapshot parts": _snapshot,
    "shard append": _shard,
    "peer headers": _peer_headers,
    "completion": lambda data: check_completion(
        "/v1/chat/completions", decode_object(data)
    ),
    "batch line": lambda data: parse_line(data, 1),
    "engine answer": lambda data: decode_answer(data, CacheEvents, "s", "p"),
    "engine state": lambda data: decode_state(data, "s", "p"),
    "engine chunk": _chunk,
    "events": lambda data: EventParser(1000).feed(data),
    "declaration": lambda data: declarations.parse(decode_object(data), "file"),
    "settings": _host_settings,
    "deployment": lambda data: structure(
        decode_object(data), messages.DeploymentSettings, "f"
    ),
    "operator change": _operator_change,
}

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=9), inner, max_size=3)
    ),
    max_leaves=8,
)
KNOWN_KEYS = (
    *("kind", "name", "model", "messages", "prompt", "body", "url", "method"),
    *("custom_id", "entries", "declaration", "versions", "log", "tls", "hosts"),
    *("role", "content", "choices", "delta", "usage", "slots", "base_version"),
)
KINDS = st.sampled_from(["service", "model", "tenant", "backend_server", "POST"])
objects = st.dictionaries(st.sampled_from(KNOWN_KEYS), json_values | KINDS, max_size=6)


def _valid_messages():
    record = messages.LogRecord("r", 1, 1, b"\x00")
    part = messages.SnapshotPart("s", 0, 1, 0, b"\x00")
    wrapped = messages.LogRecord(
        "s/0", messages.RecordKind.SNAPSHOT_PART, 1, codec.encode(part)
    )
    entry = messages.ConfigEntry("tenant", "t", "{}")
    change = messages.ConfigChange("c", -1, [entry])
    config = messages.LogRecord("c", messages.RecordKind.CONFIG_CHANGE, 1)
    config.body = codec.encode(change)
    batch = messages.LogBatch(records=[record, wrapped, config])
    state = messages.ConfigEntryState(entry, 0)
    snapshot = messages.ConfigSnapshot(0, 0, entries=[state])
    return [codec.encode(batch), codec.encode(snapshot)]


@st.composite
def damaged(draw):
    """Draw an encoded message with some bytes changed or cut off."""
    data = bytearray(draw(st.sampled_from(_valid_messages())))
    for _ in range(draw(st.integers(0, 4))):
        data[draw(st.integers(0, len(data) - 1))] = draw(st.integers(0, 255))
    return bytes(data[: draw(st.integers(0, len(data)))])


inputs = (
    st.binary(max_size=60)
    | damaged()
    | objects.map(lambda value: json.dumps(value).encode())
    | objects.map(lambda value: f"data: {json.dumps(value)}\n\n".encode())
)


@pytest.mark.parametrize("name", DECODERS)
@given(data=inputs)
def test_decoders_raise_typed_errors_only(name, data):
    """Guards against input that ends in an internal error."""
    try:
        DECODERS[name](data)
    except GalenascaleError as error:
        assert error.code and error.message
