"""A runner fails a request that it ran; the caller hears 'not run'."""

import asyncio
import collections
import random
from pathlib import Path

from deployment import SERVICES, Spells, make_route, make_runners, run_case
from plain_traffic import PROMISES, PlainTraffic

CLIENTS = 24
TRAFFIC_S = 20.0
# Share of its requests that the runner in trouble fails, in spells of so many
# seconds.
FAILED_SHARE = 0.4
SPELL_S = 5.0
SPELL_STARTS = (2.0, 11.0)

ROUTES = [make_route("invoice", "non_idempotent", "app", TimeoutMs=3000)]


async def fail_503(runner, request, writer):
    """Run the request, then answer 503 without saying that it did not run."""
    await asyncio.sleep(runner.work_s)
    body = b"failed"
    lines = (f"Content-Length: {len(body)}",)
    writer.write(runner.head(request, "503 Service Unavailable", *lines) + body)
    runner.note(request, "503 after the run")
    return True


async def case(deployment):
    """Return True if a request that has run was answered as not run."""
    record = deployment.record
    rng = random.Random(11)

    spells = Spells(SPELL_STARTS, SPELL_S)

    def fault(runner, request):
        """Fail a part of the requests of one runner."""
        return fail_503 if spells.active and rng.random() < FAILED_SHARE else None

    runners = make_runners(record, {"app": 7, "llm": 1})
    runners[0].fault = fault
    await deployment.start(runners, ROUTES, SERVICES)
    spells.begin()
    traffic = PlainTraffic(deployment, "invoice", idempotent=False)
    await traffic.run(CLIENTS, TRAFFIC_S)
    return _judge(record, runners, traffic.exchanges)


def _judge(record, runners, exchanges):
    """Compare the answers with what the runners ran."""
    run_ids = {request_id for runner in runners for request_id, _ in runner.runs}
    false = [
        exchange
        for exchange in exchanges
        if exchange.answer.status in PROMISES and exchange.id in run_ids
    ]
    for exchange in false:
        record.write(
            "false promise",
            id=exchange.id,
            path=exchange.path,
            gateway=exchange.gateway,
            status=exchange.answer.status,
        )
    runs_by_path = collections.Counter(
        exchange.path for exchange in exchanges if exchange.id in run_ids
    )
    record.write(
        "verdict",
        requests=len(exchanges),
        answered_as_not_run_but_run=len(false),
        invoices_run_twice=sum(count > 1 for count in runs_by_path.values()),
    )
    return bool(false)


run_case(Path(__file__).resolve().parent, case)
