"""Messages between hosts of this build and the one before it."""

import pytest

from galenascale.codec import decode, encode
from galenascale.gateway.slots import owner
from galenascale.generated.gateway_messages import (
    HostStatus,
    ServerLimitReport,
    SlotMessage,
    SlotMessageKind,
    StatusBatch,
)
from test.gateway.fleet import gateway_fleet

# A datagram as commit a0ea13d wrote it: a status, and slot messages of the
# kinds ASK, GRANT, REFUSED and SPARE.
FORMER_DATAGRAM = bytes.fromhex(
    "191c15021806686f73742d3116d00f160e160612191c150a150215040011280161180931"
    "32372e302e302e32190519051905191512190c190c190c00194c15021516180016181500"
    "1215d80419250204121112150015001500150015001212001508151618001618150a1215"
    "00190512121215001500150015001500121200150c15161800161a15001215880e190512"
    "121215001500150015001500121200151215161800160015001215001905121212150015"
    "08150415021514121200190c00"
)
# The number of fields that the former build knows.
FORMER_STATUS_FIELDS = 18
FORMER_SLOT_FIELDS = 18


def former(message_type, fields):
    """Return the type as the former build knows it."""

    class Former(message_type):
        thrift_spec = message_type.thrift_spec[: fields + 1]

    return Former


def test_datagram_of_the_former_build_is_read():
    """Guards new hosts against messages without the new fields."""
    batch = decode(StatusBatch, FORMER_DATAGRAM)
    (status,) = batch.statuses
    assert (status.host_id, status.address) == ("host-1", "127.0.0.2")
    assert status.leaving_servers == [9]
    assert status.server_limits == []
    kinds = [SlotMessageKind(message.kind).name for message in batch.slots]
    assert kinds == ["ASK", "GRANT", "REFUSED", "SPARE"]
    assert not any(message.paced for message in batch.slots)
    assert not any(message.give_up_ms for message in batch.slots)
    assert not any(message.millistarts_per_s for message in batch.slots)


def test_former_build_skips_new_fields():
    """Guards former hosts against messages with the new fields."""
    status = HostStatus(host_id="h", server_limits=[ServerLimitReport(5, 2500, 40)])
    read = decode(former(HostStatus, FORMER_STATUS_FIELDS), encode(status))
    assert read.host_id == "h"
    message = SlotMessage(
        SlotMessageKind.GRANT, 1, run=7, paced=True, give_up_ms=9, millistarts_per_s=9
    )
    read = decode(former(SlotMessage, FORMER_SLOT_FIELDS), encode(message))
    assert (read.run, read.paced, read.give_up_ms) == (7, False, 0)


# Guards limited servers against owners of the former build, which know none.
@pytest.mark.parametrize("path", ["/plain/a", "/chat/a"])
async def test_grant_of_a_former_owner_is_not_used(path, monkeypatch):
    """Requests go to the server without a limit instead."""
    make_answer = owner.make_answer

    def make_former_answer(pool, decision):
        message = make_answer(pool, decision)
        message.paced = False
        return message

    monkeypatch.setattr(owner, "make_answer", make_former_answer)
    async with gateway_fleet() as fleet:
        limited, other = fleet.runners_of("llm" if path == "/chat/a" else "app")
        limited.behaviour.limits = ("2",)
        statuses = []
        for number in range(40):
            reply = await fleet.request(path, request_id=f"r{number}", data=b"x")
            statuses.append(reply.status)
        assert statuses.count(200) == len(statuses)
        assert len(limited.requests) <= 2
        assert len(other.requests) >= 38
