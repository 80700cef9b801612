"""The host list adapter against a small fake of the platform."""

import aiohttp
import orjson
import pytest
from aiohttp import web

from galenascale.clock import FakeClock
from galenascale.generated.messages import HostInfo
from galenascale.host_list import HostList
from galenascale.membership import Membership

ENTRY = {
    "host_id": "p",
    "failure_domain": "a",
    "url": "http://u",
    "peer_url": "http://p",
    "state": "live",
}


@pytest.mark.parametrize(
    "outage",
    [
        (503, b""),
        (200, b"junk"),
        (200, b"[]"),
        (200, b'{"hosts": 1}'),
        (200, b'{"hosts": [1, {"host_id": 2}]}'),
    ],
)
async def test_announces_and_survives_outages(outage):
    """Guards against an outage that ends polling or empties the view."""
    answers, announced = [(200, orjson.dumps({"hosts": [ENTRY]}))], []

    async def get(_):
        status, body = answers[-1]
        return web.Response(status=status, body=body)

    async def put(request):
        assert request.headers["X-Failure-Domain"] == "a"
        announced.append((request.match_info["id"], await request.json()))
        return web.Response(status=answers[-1][0])

    app = web.Application()
    app.add_routes([web.get("/v1/hosts", get), web.put("/v1/hosts/{id}", put)])
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    view = Membership(HostInfo(host_id="o", incarnation="i", failure_domain="a"))
    async with aiohttp.ClientSession() as session:
        url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        clock = FakeClock()
        host_list = HostList(session, url, view, clock)
        await host_list.turn()
        assert view.peer_url("p") == "http://p"
        answers.append(outage)
        clock.now_s += 1
        await host_list.turn()
        if b'"host_id"' not in outage[1]:
            assert view.contact_candidates(0.0, "a") == ["p"]
        answers.append((200, orjson.dumps({"hosts": [ENTRY | {"host_id": "q"}]})))
        view.update_own(state="leaving")
        clock.now_s += 1
        await host_list.turn()
        assert view.contact_candidates(0.0, "a") == ["q"]
        await runner.cleanup()
        clock.now_s += 1
        await host_list.turn()
        assert view.contact_candidates(0.0, "a") == ["q"]
    assert [(name, entry["state"]) for name, entry in announced] == [
        ("o", "live"),
        ("o", "live"),
        ("o", "leaving"),
    ]
    assert announced[0][1]["incarnation"] == "i"


async def test_large_list_is_read_rarely():
    """Guards the control budget: a read each second would exceed it."""
    view = Membership(HostInfo(host_id="o", failure_domain="a"))
    clock, calls = FakeClock(), []

    async def request(method, path, body=None):
        calls.append(method)
        return orjson.dumps({"hosts": [ENTRY] * 950})

    host_list = HostList(None, "http://unused", view, clock)
    host_list._request = request
    for _ in range(100):
        await host_list.turn()
        clock.now_s += 1
    assert calls.count("PUT") == 100
    assert 2 <= calls.count("GET") <= 4
