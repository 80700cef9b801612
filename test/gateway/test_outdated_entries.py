"""Servers that restarted under another id, whose former entry is listed."""

import pytest

from galenascale.gateway.health import (
    GONE_DELAY_S,
    MAX_CHECK_DELAY_S,
    ServerHealth,
)
from test.gateway.fleet import gateway_fleet


@pytest.mark.parametrize("path", ["/chat/a", "/plain/a"])
async def test_outdated_entry_of_a_restarted_server_is_left_alone(path):
    """
    Guards requests against entries of servers that are gone.

    A server that crashed is back under another id at the same address; its
    former entry stays listed for some seconds and accepts connections.
    """
    service = "llm" if path == "/chat/a" else "app"
    async with gateway_fleet(hosts=2, runners=2) as fleet:
        restarted, _ = fleet.runners_of(service)
        restarted.server_id = "another"
        for number in range(30):
            reply = await fleet.request(
                path, request_id=f"r{number}", host=number % 2 + 1, data=b"x"
            )
            assert reply.status == 200
        assert restarted.misdirected <= 2 * len(fleet.hosts)


def test_server_that_is_gone_is_checked_again_after_a_while():
    """Guards servers that answered for another one by mistake."""
    health = ServerHealth()
    health.mark_gone("s", 10.0)
    assert health.is_unreachable("s")
    assert health.due_checks(10.0 + MAX_CHECK_DELAY_S) == []
    assert health.due_checks(10.1 + GONE_DELAY_S) == ["s"]
    health.mark_reachable("s")
    assert not health.is_unreachable("s")
