"""Forwards online requests to backend servers."""

import asyncio

from galenascale.gateway.attempts import AttemptPlan
from galenascale.gateway.dispatch import Dispatcher
from galenascale.gateway.forwarded_request import ForwardedRequest


class Forwarder:
    """Forwards requests, each with as many attempts as its plan allows."""

    def __init__(self, context):
        self._context = context
        self._dispatcher = Dispatcher(context)

    def plan(self, request, route, now):
        """Return the AttemptPlan of a request that arrived at `now`."""
        timeout_s = route.timeout_s
        if request.timeout_s is not None:
            timeout_s = min(timeout_s, request.timeout_s)
        return AttemptPlan(route, arrived_at=now, deadline=now + timeout_s)

    async def forward(self, request, route, plan, caller):
        """
        Return the BufferedResponse of a request, or None if it was streamed.

        `caller` receives the events of a stream. Raise RequestFailed if the
        request cannot be served.
        """
        run = ForwardedRequest(
            self._context, self._dispatcher, request, route, plan, caller
        )
        try:
            now = self._context.clock.monotonic()
            async with asyncio.timeout(plan.remaining_s(now)):
                return await run.serve()
        except TimeoutError:
            raise plan.make_error("time is up", plan.deadline) from None
