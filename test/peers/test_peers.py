"""Calls between hosts over loopback, and what the listener refuses."""

import asyncio
import contextlib
import datetime

import pytest
from aiohttp import web
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from hypothesis import given
from hypothesis import strategies as st

from galenascale import codec
from galenascale.errors import BackendError, GalenascaleError, PeerError, Refused
from galenascale.generated.messages import (
    GiveWayReply,
    GiveWayRequest,
    GossipMessage,
    HostInfo,
    TlsSettings,
)
from galenascale.peers import auth
from galenascale.tls import make_peer_contexts
from test.peers.nodes import start_nodes

METHOD = "give_way"


@contextlib.asynccontextmanager
async def two_nodes(handler=None, tls=None):
    """Yield (caller, called); the default handler echoes the slots."""

    async def echo(sender, request):
        return GiveWayReply(request.slots)

    async with contextlib.AsyncExitStack() as stack:
        nodes = await start_nodes(stack, ["caller", "called"], tls)
        called = nodes["called"]
        called.server.register(METHOD, GiveWayRequest, GiveWayReply, handler or echo)
        yield nodes["caller"], called


async def call(node, method=METHOD, slots=5, timeout_s=5.0):
    """Return the reply of the called node."""
    request = GiveWayRequest("server", slots, "caller")
    return await node.peers.call("called", method, request, GiveWayReply, timeout_s)


async def test_calls_share_a_connection():
    async with two_nodes() as (caller, _):
        assert [(await call(caller, slots=n)).freed for n in range(9)] == [*range(9)]
        assert sum(map(len, caller.session.connector._conns.values())) == 1


@pytest.mark.parametrize(
    "raised",
    [
        Refused("full", code="queue_full", step="admit", retry_after_s=7.0),
        BackendError("gone", step="relay", peer="server-1"),
        GalenascaleError("odd", code="new_code", execution="may_have_run"),
    ],
)
async def test_remote_errors_arrive_as_such(raised):
    """Guards against a true refusal that turns into an unknown outcome."""

    async def fail(sender, request):
        raise raised

    async with two_nodes(fail) as (caller, _):
        with pytest.raises(type(raised)) as caught:
            await call(caller)
    for name in ("code", "message", "step", "execution", "http_status"):
        assert getattr(caught.value, name) == getattr(raised, name)
    assert caught.value.peer == (raised.peer or "called")
    assert getattr(caught.value, "retry_after_s", 0) == getattr(
        raised, "retry_after_s", 0
    )


async def test_unexpected_error_and_timeout_leave_the_outcome_open():
    """Guards against `not_run` for a call that may have run."""

    async def fail(sender, request):
        if request.slots == 1:
            raise KeyError("bug")
        await answered.wait()

    answered = asyncio.Event()
    async with two_nodes(fail) as (caller, _):
        for slots, kind in ((1, GalenascaleError), (2, PeerError)):
            with pytest.raises(kind) as caught:
                await call(caller, slots=slots, timeout_s=0.2)
            assert caught.value.execution == "may_have_run"
            assert caught.value.peer == "called"
        answered.set()


def signed(node, body, method=METHOD, receiver="called", **changes):
    """Return headers of a signed request with some of them changed."""
    return node.signer.sign_request(method, receiver, body) | changes


async def post(caller, called, body, headers, method=METHOD):
    """Return the status of a raw request."""
    async with caller.session.post(
        f"{called.url}/peer/{method}", data=body, headers=headers
    ) as response:
        await response.read()
        return response.status


BODY = codec.encode(GiveWayRequest("server", 1, "caller"))


@pytest.mark.parametrize(
    "changes",
    [
        {auth.SIGNATURE: "0" * 64},
        {auth.SIGNATURE: "é"},
        {auth.SENDER: "other"},
        {auth.TIMESTAMP: "1000001"},
        {auth.TIMESTAMP: "not a number"},
        {auth.NONCE: "other"},
        {"receiver": "third"},
        {"method": "gossip"},
    ],
)
async def test_changed_messages_are_refused(changes):
    """Guards each signed part; all of them are needed for a match."""
    async with two_nodes() as (caller, called):
        headers = signed(caller, BODY, **changes)
        assert await post(caller, called, BODY, headers) == 401
        assert await post(caller, called, BODY + b"x", signed(caller, BODY)) == 401
        assert await post(caller, called, BODY, {}) == 401
        assert await post(caller, called, BODY, signed(caller, BODY)) == 200


async def test_repeated_and_old_messages_are_refused():
    """Guards against replay, within the accepted time and after it."""
    async with two_nodes() as (caller, called):
        headers = signed(caller, BODY)
        assert await post(caller, called, BODY, headers) == 200
        for step_ms in (0, auth.MAX_SKEW_MS, 1, auth.MAX_SKEW_MS * 5):
            caller.clock.now_s += step_ms / 1000
            assert await post(caller, called, BODY, headers) == 401
        assert await post(caller, called, BODY, signed(caller, BODY)) == 200
        assert len(called.signer._seen) == 1


async def test_oversize_body_and_unknown_method_are_refused():
    async with two_nodes() as (caller, called):
        large = bytes(5000)
        assert await post(caller, called, large, signed(caller, large)) == 413
        with pytest.raises(GalenascaleError) as caught:
            await call(caller, method="missing")
        assert (caught.value.code, caught.value.execution) == (
            "unknown_method",
            "not_run",
        )
        assert (await call(caller)).freed == 5


async def test_answer_of_a_stranger_is_refused():
    """Guards against an unsigned answer on a taken-over address."""

    async def _unsigned(_):
        return web.Response(body=codec.encode(GiveWayReply(1)))

    app = web.Application()
    app.router.add_post("/peer/{method}", _unsigned)
    runner = web.AppRunner(app)
    await runner.setup()
    async with two_nodes() as (caller, _):
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        caller.membership._seed_peers["called"] = url
        with pytest.raises(PeerError, match="signature"):
            await call(caller)
    await runner.cleanup()


@given(
    st.lists(
        st.one_of(
            st.binary(max_size=200),
            st.builds(
                lambda message, cut: codec.encode(message)[:cut],
                st.builds(
                    GossipMessage,
                    sender=st.just(HostInfo("caller")),
                    known_keys=st.lists(st.integers(-9, 9), max_size=5),
                    known_heartbeats=st.lists(st.integers(-9, 9), max_size=5),
                    wanted=st.lists(st.integers(-9, 9), max_size=5),
                    leaving_servers=st.lists(st.text(max_size=3), max_size=3),
                    leaving_ages_ms=st.lists(st.integers(-9, 9), max_size=3),
                ),
                st.integers(0, 200),
            ),
        ),
        min_size=1,
        max_size=8,
    )
)
def test_junk_bodies_raise_nothing_unhandled(bodies):
    """Guards against signed junk that ends in an internal error."""

    async def send():
        async with two_nodes() as (caller, called):
            for body in bodies:
                for method in (METHOD, "gossip"):
                    headers = signed(caller, body, method=method)
                    async with caller.session.post(
                        f"{called.url}/peer/{method}", data=body, headers=headers
                    ) as response:
                        assert response.status in (200, 500)
                        assert b"internal_error" not in await response.read()

    asyncio.run(send())


def make_tls(directory):
    """Return TlsSettings with PEM text of a new CA and one certificate."""
    now = datetime.datetime.now(datetime.UTC)
    ca_key, key = (ec.generate_private_key(ec.SECP256R1()) for _ in range(2))
    ca_name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "ca")])
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "host")])

    def issue(subject, public_key, is_ca):
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(ca_name)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(x509.BasicConstraints(is_ca, None), critical=True)
            .sign(ca_key, hashes.SHA256())
            .public_bytes(serialization.Encoding.PEM)
            .decode()
        )

    private = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    ).decode()
    certificate = issue(name, key.public_key(), False)
    path = directory / "key.pem"
    path.write_text(private)
    return TlsSettings(
        certificate, str(path), issue(ca_name, ca_key.public_key(), True)
    )


async def test_mutual_tls_refuses_peers_of_another_ca(tmp_path):
    """Guards against a listener that takes any or no certificate."""
    async with two_nodes(tls=make_tls(tmp_path)) as (caller, _):
        assert (await call(caller)).freed == 5
        other = make_tls(tmp_path)
        for tls in (make_peer_contexts(other)[1], False):
            caller.peers._tls = tls
            caller.session.connector._conns.clear()
            with pytest.raises(PeerError):
                await call(caller)
