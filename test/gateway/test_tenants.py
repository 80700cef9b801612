"""Tests of the keys of tenants: who may call, and what servers are shown."""

import asyncio
import socket

import pytest

from galenascale.gateway.configuration import Configuration, ConfigurationState, Tenant
from galenascale.key_table import key_digest
from galenascale.platform import headers
from galenascale.platform.configuration import decode_configuration
from test.gateway.fleet import (
    HOST_NAME,
    ROUTES,
    gateway_fleet,
    key_header,
    make_route,
    make_tenant,
    until,
)

KEY = "kauzr9k2m4pq0s1t7vwx"
OTHER_KEY = "b7c1ndz0o5yhk3e8qq2l"
TENANTS = (
    make_tenant("one", KEY, "second-key-of-one", Priority=1),
    make_tenant("two", OTHER_KEY),
)
ANONYMOUS = make_route("open", "idempotent", "app", Anonymous=True)
STREAM_PATHS = ("/chat/x", "/talk/x")


def sent_headers(fleet, service):
    """Return the headers of all requests that the servers of a service got."""
    return [
        (name.lower(), value)
        for runner in fleet.runners_of(service)
        for request in runner.requests
        for name, value in request.headers
    ]


@pytest.mark.parametrize("path", ["/plain/x", "/once/x", *STREAM_PATHS])
async def test_server_is_shown_the_tenant_and_never_its_key(path):
    """Guards keys against servers, whatever the caller sends beside them."""
    forged = {
        "X-Galenascale-Tenant": "two",
        "x_galenascale_tenant": "two",
        "X-GALENASCALE-TENANT": "two",
        **key_header(KEY),
    }
    async with gateway_fleet(tenants=TENANTS) as fleet:
        reply = await fleet.request(path, headers=forged)
        assert reply.status == 200
        service = "llm" if path in STREAM_PATHS else "app"
        found = sent_headers(fleet, service)
        tenants = [
            value for name, value in found if b"tenant" in name.replace(b"_", b"-")
        ]
        assert tenants == [b"one"]
        assert not [name for name, value in found if KEY.encode() in value]


@pytest.mark.parametrize(
    ("header", "status"),
    [
        ({}, 401),
        (key_header("unknown"), 401),
        (key_header(""), 401),
        ({"Authorization": KEY}, 401),
        ({"Authorization": f"Bearer {KEY}"}, 401),
        ({"Authorization": f"Token {KEY} {KEY}"}, 401),
        (key_header(KEY[:-1]), 401),
        (key_header("x" * 8000), 401),
        (key_header(KEY), 200),
        ({"Authorization": f"token  {KEY} "}, 200),
        (key_header("second-key-of-one"), 200),
    ],
)
async def test_only_known_keys_may_call(header, status):
    """Guards routes against callers without a key of a tenant."""
    async with gateway_fleet(tenants=TENANTS) as fleet:
        reply = await fleet.request("/plain/x", headers=header)
        assert reply.status == status
        assert len(sent_headers(fleet, "app")) == 0 or status == 200


async def test_second_key_in_another_header_is_refused():
    """Guards against two keys of which two programs read different ones."""
    async with gateway_fleet(tenants=TENANTS) as fleet:
        with socket.create_connection(("127.0.0.1", fleet.ports["caller"])) as sock:
            sock.sendall(
                f"GET /plain/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                "X-Galenascale-Attempt-Id: r1\r\n"
                f"Authorization: Token {KEY}\r\n"
                f"Authorization: Token {OTHER_KEY}\r\n\r\n".encode()
            )
            loop = asyncio.get_running_loop()
            sock.setblocking(False)
            answer = await loop.sock_recv(sock, 1000)
        assert answer.startswith(b"HTTP/1.1 401 ")
        assert not sent_headers(fleet, "app")


async def test_refusal_does_not_wait_for_the_body():
    """Guards hosts against bodies of callers that have no key."""
    async with gateway_fleet(tenants=TENANTS) as fleet:
        with socket.create_connection(("127.0.0.1", fleet.ports["caller"])) as sock:
            sock.sendall(
                f"POST /plain/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                "X-Galenascale-Attempt-Id: r1\r\n"
                "Content-Length: 900000\r\n\r\n".encode()
            )
            loop = asyncio.get_running_loop()
            sock.setblocking(False)
            async with asyncio.timeout(1.0):
                answer = await loop.sock_recv(sock, 1000)
        assert answer.startswith(b"HTTP/1.1 401 ")


async def test_anonymous_route_needs_no_key_and_shows_no_tenant():
    """Guards anonymous routes, also against a tenant that a caller forges."""
    async with gateway_fleet(tenants=TENANTS) as fleet:
        fleet.write_config([*ROUTES, ANONYMOUS])
        await until(lambda: fleet.hosts[0].context.configuration.version == 2)
        forged = {"X-Galenascale-Tenant": "two", **key_header(KEY)}
        for header in ({}, forged, {"Authorization": "Basic abc"}):
            reply = await fleet.request("/open/x", headers=header)
            assert reply.status == 200
        found = sent_headers(fleet, "app")
        assert not [value for name, value in found if b"tenant" in name]
        values = [value for name, value in found if name == b"authorization"]
        assert values == [b"Basic abc"]


async def test_without_tenants_headers_pass_unchanged():
    """Guards deployments without tenants against the rules for them."""
    async with gateway_fleet() as fleet:
        sent = {"X-Galenascale-Tenant": "two", **key_header(KEY)}
        reply = await fleet.request("/plain/x", headers=sent)
        assert reply.status == 200
        found = sent_headers(fleet, "app")
        assert (b"authorization", f"Token {KEY}".encode()) in found
        assert (b"x-galenascale-tenant", b"two") in found


async def test_key_is_taken_away_and_another_one_added():
    """Guards changes of keys, the last key of a tenant included."""
    async with gateway_fleet(tenants=TENANTS) as fleet:

        async def statuses():
            return [
                (await fleet.request("/plain/x", headers=key_header(key))).status
                for key in (KEY, "second-key-of-one", "third", OTHER_KEY)
            ]

        assert await statuses() == [200, 200, 401, 200]
        fleet.tenants = [make_tenant("one", "third"), make_tenant("two")]
        fleet.write_config()
        await until(lambda: fleet.hosts[0].context.configuration.version == 2)
        assert await statuses() == [401, 401, 200, 401]
        fleet.tenants = []
        fleet.write_config()
        await until(lambda: fleet.hosts[0].context.configuration.version == 3)
        assert await statuses() == [401, 401, 401, 401]


async def test_keys_appear_nowhere(capfd):
    """Guards keys against logs, metrics, the store and other hosts."""
    async with gateway_fleet(tenants=TENANTS, hosts=2) as fleet:
        for host in fleet.hosts:
            host.context.log.set_level("debug")
        for key in (KEY, OTHER_KEY, "wrong-key-of-a-caller"):
            for path in ("/plain/x", "/chat/x", "/nothing/x", "/lots/j1"):
                await fleet.request(path, headers=key_header(key), host=2)
        await fleet.request("/plain/x", headers={"Authorization": KEY})
        state = fleet.hosts[0].followers.export_state(0, -1)
        assert b"one" in state.configuration
        shown = [state.configuration, repr(fleet.hosts[0].context.configuration)]
        shown += [host.context.metrics.expose() for host in fleet.hosts]
        for name, stream in fleet.store.state.log.streams_by_name.items():
            if "keyed.op" not in name:
                shown.append(repr(list(stream.records)))
        for host in fleet.hosts:
            host.context.log.flush()
        shown.append(capfd.readouterr().out)
        texts = [text.decode() if isinstance(text, bytes) else text for text in shown]
        for key in (KEY, OTHER_KEY, "second-key-of-one", "wrong-key-of-a-caller"):
            assert not [text for text in texts if key in text]


def test_relayed_configuration_knows_the_same_keys():
    """Guards hosts that get the configuration from another host."""
    data = (
        b'{"Version":1,"Routes":[],"Services":[],'
        b'"Tenants":[{"Name":"one","ApiKeys":["k1"],"RatePerS":7,"Burst":3.5}]}'
    )
    decoded = decode_configuration(data)
    relayed = decode_configuration(decoded.source)
    assert relayed.tenants_by_name == decoded.tenants_by_name
    tenant = relayed.tenants_by_name["one"]
    assert (tenant.requests_per_s, tenant.burst) == (7.0, 3.5)
    assert tenant.key_digests == (key_digest("k1"),)
    assert b'k1"' not in decoded.source


def test_lookup_costs_the_same_for_many_tenants():
    """Guards the time of a lookup against the number of tenants."""
    tenants = {
        f"t{number}": Tenant(f"t{number}", (key_digest(f"key-{number}"),))
        for number in range(3000)
    }
    state = ConfigurationState()
    state.install(Configuration(1, (), {}, tenants_by_name=tenants))
    assert state.tenants.find(b"key-2999").name == "t2999"
    assert state.tenants.find(b"key-3000") is None


@pytest.mark.parametrize("tenant", [None, "", "one"])
def test_item_headers_cannot_forge_a_tenant(tenant):
    """Guards the items of jobs, whose headers come from callers."""
    sent = (
        (b"X-Galenascale-Tenant", b"two"),
        (b"x_galenascale_tenant", b"two"),
        (b"Authorization", b"Token k"),
        (b"X-Mine", b"1"),
    )
    kept = headers.replace_credentials(sent, tenant)
    expected = {
        None: list(sent),
        "": [(b"X-Mine", b"1")],
        "one": [(b"X-Mine", b"1"), (b"X-Galenascale-Tenant", b"one")],
    }
    assert kept == expected[tenant]
