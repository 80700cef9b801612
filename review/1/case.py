"""One spoiled answer of one runner; then the gateway that read it hangs."""

import asyncio
import itertools
import random
import time
from pathlib import Path

from deployment import (
    HOST,
    SERVICES,
    TROUBLE,
    CannotRun,
    make_route,
    make_runners,
    run_case,
)
from http1 import Connection
from runner import send_chunk

# Seconds of traffic before the spoiled answer, and in all.
BEFORE_S = 5.0
TRAFFIC_S = 25.0
TIMEOUT_S = 3.0
DEADLINE_S = 5.0
SETTLE_S = 0.5
SALE_CLIENTS = 36
CHAT_CLIENTS = 6
# The rule counts from this number of requests on.
MIN_REQUESTS = 8

ROUTES = [
    make_route("sale", "non_idempotent", "app", TimeoutMs=int(TIMEOUT_S * 1000)),
    make_route("chat", "streaming", "llm", Attempts=2, CanResume=True, GapTargetMs=300),
]
# Bytes that are no event: header-like lines, a line of text, an empty line.
SPOILED = (
    b"".join(b"X-Trace-%d: upstream\r\n" % number for number in range(40))
    + b"upstream connect error\r\n\r\n"
)


async def spoil(runner, request, writer):
    """Send three events, then bytes that are no event, and break off."""
    runner.record.write("spoiled answer", runner=runner.id, id=request.id)
    await runner.stream(request, writer, until=3)
    send_chunk(writer, SPOILED)
    await writer.drain()
    await asyncio.sleep(0.2)
    runner.note(request, "broken off")
    return False


class Traffic:
    """Clients that use open connections, and what they got."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.rng = random.Random(5)
        self.numbers = itertools.count(1)
        # (gateway, seconds until the answer or None, sent at) of sales.
        self.sales = []
        self.ends_at = time.monotonic() + TRAFFIC_S

    async def run_client(self, name, headers, pause_s):
        """Send requests one after the other until the end of the traffic."""
        connection = gateway = None
        while time.monotonic() < self.ends_at:
            if connection is None or not connection.is_open:
                gateway = self.deployment.choose(self.rng)
                connection = Connection(gateway.front)
            number = next(self.numbers)
            request_id = f"{name}{number:08x}"
            answer = await connection.call(
                "POST",
                f"/{name}/{number:x}",
                {
                    "Host": HOST,
                    "X-Galenascale-Attempt-Id": request_id,
                    "X-Galenascale-Deadline-Ms": str(int(DEADLINE_S * 1000)),
                    **headers,
                },
                b"{}",
                timeout_s=DEADLINE_S,
            )
            elapsed_s = round(answer.done_at - answer.sent_at, 3)
            self.deployment.record.write(
                "answer",
                id=request_id,
                gateway=gateway.name,
                status=answer.status,
                complete=answer.complete,
                elapsed_s=elapsed_s,
                error=answer.error,
            )
            if name == "sale":
                self.sales.append((gateway.name, elapsed_s))
            await asyncio.sleep(pause_s)


async def case(deployment):
    """Return True if the rule CONFIG was broken."""
    record = deployment.record
    spoiled = []
    began_at = None

    def fault(runner, request):
        """Spoil exactly one answer, of one runner."""
        due = began_at is not None and time.monotonic() - began_at > BEFORE_S
        if not TROUBLE or spoiled or not due or not request.is_stream:
            return None
        spoiled.append(request.id)
        return spoil

    runners = make_runners(record, {"llm": 6, "app": 3}, slots=16)
    next(r for r in runners if r.service == "llm").fault = fault
    await deployment.start(runners, ROUTES, SERVICES)
    began_at = time.monotonic()
    traffic = Traffic(deployment)
    tokens = {
        "X-Galenascale-Model": "m",
        "X-Galenascale-Token-Usage": "250,25",
        "X-Galenascale-Prompt-Prefix": "5c1e07a2:200,e4402b7d:250",
    }
    clients = [traffic.run_client("sale", {}, 0.5) for _ in range(SALE_CLIENTS)]
    clients += [traffic.run_client("chat", tokens, 0.3) for _ in range(CHAT_CLIENTS)]
    await asyncio.gather(*clients)
    if TROUBLE and not spoiled:
        raise CannotRun("no answer was spoiled")
    unanswered = [sale for sale in traffic.sales if sale[1] >= TIMEOUT_S]
    late = [sale for sale in unanswered if sale[1] >= TIMEOUT_S + SETTLE_S]
    for gateway in deployment.gateways:
        record.write(
            "gateway",
            name=gateway.name,
            running=gateway.running,
            in_rotation=gateway.in_rotation,
            misses=gateway.misses,
        )
    record.write(
        "verdict",
        sales=len(traffic.sales),
        unanswered_at_timeout=len(unanswered),
        without_answer_half_a_second_later=len(late),
        spoiled_answers=len(spoiled),
    )
    return len(unanswered) >= MIN_REQUESTS and len(late) > len(unanswered) / 2


run_case(Path(__file__).resolve().parent, case)
