"""Clients that send plain requests on open connections, with one retry."""

import asyncio
import itertools
import random
import time

import attrs
from deployment import HOST
from http1 import Answer, Connection

DEADLINE_S = 3.0
# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)


@attrs.define
class Exchange:
    """One attempt of a client and what it got."""

    id: str
    # Path of the first attempt and its repeats: one piece of business.
    path: str
    gateway: str
    answer: Answer


class PlainTraffic:
    """Sends requests of one route until a time and keeps their answers."""

    def __init__(self, deployment, route, *, idempotent):
        self._deployment = deployment
        self._route = route
        self._idempotent = idempotent
        self._rng = random.Random(5)
        self._numbers = itertools.count(1)
        self._attempts = itertools.count(1)
        self.exchanges = []

    async def run(self, clients, seconds, pause_s=0.25):
        """Let a number of clients send for some seconds."""
        ends_at = time.monotonic() + seconds
        await asyncio.gather(
            *(self._run_client(ends_at, pause_s) for _ in range(clients))
        )

    async def _run_client(self, ends_at, pause_s):
        connection = gateway = None
        while time.monotonic() < ends_at:
            path = f"/{self._route}/{next(self._numbers):x}"
            if connection is None or not connection.is_open:
                gateway = self._deployment.choose(self._rng)
                connection = Connection(gateway.front)
            answer = await self._send(connection, gateway, path)
            if self._may_retry(answer):
                # Each retry goes to another node, on a new connection.
                connection.close()
                gateway = self._deployment.choose(self._rng)
                connection = Connection(gateway.front)
                await self._send(connection, gateway, path)
            await asyncio.sleep(pause_s)

    def _may_retry(self, answer):
        """Return True if the pages let a client send the request again."""
        if self._idempotent:
            return not 200 <= answer.status < 300 or not answer.complete
        return answer.status in PROMISES

    async def _send(self, connection, gateway, path):
        request_id = f"{self._route}{next(self._attempts):08x}"
        headers = {
            "Host": HOST,
            "X-Galenascale-Attempt-Id": request_id,
            "X-Galenascale-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        answer = await connection.call(
            "POST", path, headers, path.encode(), timeout_s=DEADLINE_S
        )
        self.exchanges.append(Exchange(request_id, path, gateway.name, answer))
        self._deployment.record.write(
            "answer",
            id=request_id,
            path=path,
            gateway=gateway.name,
            status=answer.status,
            signature=answer.signature,
            complete=answer.complete,
            error=answer.error,
        )
        return answer
