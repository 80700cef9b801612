"""Bytes of a runner that are no answer reach a caller as a success."""

import asyncio
import random
from pathlib import Path

from deployment import SERVICES, Spells, make_route, make_runners, run_case
from plain_traffic import PlainTraffic

CLIENTS = 80
TRAFFIC_S = 36.0
# Share of their answers that the runners in trouble spoil, in spells of so
# many seconds.
SPOILED_SHARE = 0.03
SPELL_S = 5.0
SPELL_STARTS = (2.0, 11.0, 20.0, 29.0)

ROUTES = [make_route("foto", "idempotent", "app", Attempts=2, TimeoutMs=3000)]
# Bytes that are no answer of a runner: neither its signature nor an id.
SPOILED = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def spoil(runner, request, writer):
    """Send bytes that belong to no request, and break off."""
    await asyncio.sleep(runner.work_s)
    writer.write(SPOILED)
    await writer.drain()
    runner.note(request, "spoiled")
    return False


async def case(deployment):
    """Return True if a caller got a success without a signature."""
    record = deployment.record
    rng = random.Random(11)

    spells = Spells(SPELL_STARTS, SPELL_S)

    def fault(runner, request):
        """Spoil a part of the answers of three of five runners."""
        return spoil if spells.active and rng.random() < SPOILED_SHARE else None

    runners = make_runners(record, {"app": 5, "llm": 1})
    for runner in runners[:3]:
        runner.fault = fault
    await deployment.start(runners, ROUTES, SERVICES)
    spells.begin()
    traffic = PlainTraffic(deployment, "foto", idempotent=True)
    await traffic.run(CLIENTS, TRAFFIC_S)
    unsigned = [
        exchange
        for exchange in traffic.exchanges
        if 200 <= exchange.answer.status < 300 and not exchange.answer.signature
    ]
    for exchange in unsigned:
        record.write(
            "success without a signature",
            id=exchange.id,
            gateway=exchange.gateway,
            body=exchange.answer.body.decode("latin-1"),
        )
    spoiled = sum(
        outcome == "spoiled" for runner in runners for _, outcome in runner.runs
    )
    record.write(
        "verdict",
        requests=len(traffic.exchanges),
        spoiled_answers=spoiled,
        successes_without_signature=len(unsigned),
    )
    return bool(unsigned)


run_case(Path(__file__).resolve().parent, case)
