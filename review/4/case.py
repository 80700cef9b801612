"""A host that is cut off takes a tenant's rate for its own."""

import asyncio
import itertools
import random
import time
from pathlib import Path

from deployment import (
    HOST,
    SERVICES,
    TROUBLE,
    ZONES,
    make_route,
    make_runners,
    run_case,
)
from http1 import Connection

from galenascale.hashing import rendezvous_rank

GATEWAYS = 6
TENANT, KEY = "zigo840", "k-51c0aa8e"
RATE_PER_S = 100
BURST = 50
WINDOW_S = 5
OVERSHOOT = 0.1
SLACK = 20
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
CLIENTS_OF_GATEWAY = 14
PAUSE_S = 0.1
DEADLINE_S = 3.0
# Seconds of the tenant's usual traffic, and of many times as much.
USUAL_S = 6.0
HOT_S = 6.5
USUAL_CLIENTS = 2
# One host is cut off from all others for so many seconds.
CUT_S = 5.5
# Seconds from the cut to the many requests.
CUT_BEFORE_S = 0.5

ROUTES = [make_route("ledger", "idempotent", "app", Attempts=2, TimeoutMs=3000)]


class Tenant:
    """Clients of one tenant at all gateways, and what was sent when."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.sent_at = {}
        self.statuses = {}
        self.numbers = itertools.count(1)
        self.ends_at = 0.0

    async def run(self, clients, seconds):
        """Send from some clients at each gateway for some seconds."""
        self.ends_at = time.monotonic() + seconds
        await asyncio.gather(
            *(
                self._run_client(gateway)
                for gateway in self.deployment.gateways
                for _ in range(clients)
            )
        )

    async def _run_client(self, gateway):
        connection = Connection(gateway.front)
        await asyncio.sleep(random.random() * PAUSE_S)
        while time.monotonic() < self.ends_at:
            number = next(self.numbers)
            request_id = f"ledger{number:08x}"
            self.sent_at[request_id] = self.deployment.record.now()
            answer = await connection.call(
                "POST",
                f"/ledger/{number:x}",
                {
                    "Host": HOST,
                    "Authorization": f"Token {KEY}",
                    "X-Galenascale-Attempt-Id": request_id,
                    "X-Galenascale-Deadline-Ms": str(int(DEADLINE_S * 1000)),
                },
                b"{}",
                timeout_s=DEADLINE_S,
            )
            self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
            self.deployment.record.write(
                "answer",
                id=request_id,
                gateway=gateway.name,
                status=answer.status,
                sent=round(self.sent_at[request_id], 3),
            )
            await asyncio.sleep(PAUSE_S)
        connection.close()


async def cut_one_off(deployment):
    """Cut one host off that does not own the tenant's rate in its zone."""
    names = [g.name for g in deployment.gateways if g.zone == ZONES[0]]
    last = rendezvous_rank(f"rate/{TENANT}", names)[-1]
    gateway = next(g for g in deployment.gateways if g.name == last)
    deployment.record.write("cut", gateway=gateway.name)
    deployment.links.cut.add(gateway.datagram_address)
    await asyncio.sleep(CUT_S)
    deployment.links.cut.clear()
    deployment.record.write("healed", gateway=gateway.name)


async def case(deployment):
    """Return True if a window held more requests than allowed (QUOTA)."""
    record = deployment.record
    deployment.tenants = [
        {"Name": TENANT, "ApiKeys": [KEY], "RatePerS": RATE_PER_S, "Burst": BURST}
    ]
    deployment.bounds = {
        "revoke_ms": 5000,
        "quota_window_s": WINDOW_S,
        "quota_overshoot": OVERSHOOT,
        "quota_slack": SLACK,
    }
    deployment.has_links = True
    arrived_at = {}

    def note_arrival(_, request):
        """Record when a request arrives at the runner that runs it."""
        arrived_at.setdefault(request.id, record.now())

    runners = make_runners(record, {"app": 9, "llm": 1}, fault=note_arrival)
    await deployment.start(runners, ROUTES, SERVICES, GATEWAYS)
    tenant = Tenant(deployment)
    await tenant.run(USUAL_CLIENTS, USUAL_S)
    cut = asyncio.ensure_future(cut_one_off(deployment)) if TROUBLE else None
    await asyncio.sleep(CUT_BEFORE_S)
    await tenant.run(CLIENTS_OF_GATEWAY, HOT_S)
    if cut is not None:
        await cut
    fullest, starts_at = fullest_window(tenant.sent_at, arrived_at)
    record.write(
        "verdict",
        requests=len(tenant.sent_at),
        run=len(arrived_at),
        statuses=tenant.statuses,
        fullest_window=fullest,
        window_starts_at=starts_at,
        allowed=ALLOWED,
    )
    return fullest > ALLOWED


def fullest_window(sent_at, arrived_at):
    """Return the most requests sent and arrived in a window, and its start."""
    runs = sorted((sent_at[key], at) for key, at in arrived_at.items())
    best = (0, 0.0)
    for start, _ in runs:
        inside = sum(
            start <= sent and at < start + WINDOW_S
            for sent, at in runs
            if sent < start + WINDOW_S
        )
        best = max(best, (inside, round(start, 3)))
    return best


run_case(Path(__file__).resolve().parent, case)
