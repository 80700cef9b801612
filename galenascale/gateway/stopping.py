"""The planned stop of a host."""

import asyncio

import attrs

# Seconds for which new connections are still accepted: the balancer looks once
# a second and takes a host out after two misses.
ACCEPT_S = 3.2
# Seconds before the end of the grace at which the last requests are broken
# off, so that the process ends by itself.
END_MARGIN_S = 0.4
# Seconds before that until which jobs that cannot be handed over go on here.
HAND_OVER_MARGIN_S = 1.0
POLL_S = 0.05


@attrs.define
class GracefulStop:
    """Takes no new work, hands jobs over and lets requests finish."""

    parts: object
    front: object
    runner: object
    group_membership: object
    presence: object
    caller_server: object
    caller_listener: object

    async def run(self):
        """Return when no request is left or the grace is over."""
        clock = self.parts.clock
        began_at = clock.monotonic()
        grace_s = self.parts.settings.bounds.stop_grace_s
        end_at = began_at + grace_s - END_MARGIN_S
        self.front.stopping = True
        self.parts.slots.stop_owning()
        self.parts.log.write("stop", in_flight=self.front.in_flight, grace_s=grace_s)
        hand_over = asyncio.ensure_future(self._hand_over(end_at))
        await asyncio.sleep(min(ACCEPT_S, grace_s / 2))
        self.caller_listener.close()
        self.caller_server.close_idle()
        while clock.monotonic() < end_at:
            if self.front.in_flight == 0 and hand_over.done():
                break
            await asyncio.sleep(POLL_S)
        hand_over.cancel()
        # Also if the jobs could not be handed over.
        self.presence.leave()
        self.parts.log.write(
            "stopped",
            elapsed_s=round(clock.monotonic() - began_at, 3),
            cut_off=self.front.in_flight,
        )

    async def _hand_over(self, end_at):
        jobs = await self.runner.hand_over(end_at - HAND_OVER_MARGIN_S)
        # Only now may others claim the jobs: their progress is recorded.
        self.presence.leave()
        await self.group_membership.leave()
        await self.presence.withdraw()
        self.parts.log.write("handed_over", jobs=jobs)
