"""Graceful stop of a gateway host."""

import asyncio

import attrs

# Seconds for which new connections are still accepted. The load balancer
# checks readiness once a second and removes a host after two failed checks.
ACCEPT_PERIOD_S = 3.2
# Seconds after which the balancer sends no more requests, and those that were
# under way have been read. What is read later may be refused without loss.
LATE_AFTER_S = 2.8
# Seconds before the end of the grace period at which the remaining requests
# are cut off, so that the process exits before it is killed.
CUTOFF_MARGIN_S = 0.4
# Seconds before the cutoff until which jobs that cannot be handed over keep
# running here.
HAND_OVER_MARGIN_S = 1.0
POLL_INTERVAL_S = 0.05
# Seconds for which the kernel takes what is left of answers at the cutoff.
FLUSH_S = 0.05


@attrs.frozen
class StopWindow:
    """When a stopping host takes requests, in monotonic seconds."""

    late_at: float
    # When it cuts off the requests that are left.
    ends_at: float

    @classmethod
    def from_grace(cls, began_at, grace_s):
        """Return the window of a stop with a grace period in seconds."""
        return cls(
            began_at + min(LATE_AFTER_S, grace_s / 2),
            began_at + grace_s - CUTOFF_MARGIN_S,
        )

    def would_cut(self, read_at, deadline):
        """Return True if a request read now might be cut off at the end."""
        return read_at >= self.late_at and deadline > self.ends_at


@attrs.define
class GracefulStop:
    """Refuses new work, hands jobs over and lets requests finish."""

    context: object
    request_handler: object
    runner: object
    group_membership: object
    discovery: object
    caller_server: object
    caller_listener: object

    async def run(self):
        """Return once no request is left or the grace period is over."""
        clock = self.context.clock
        began_at = clock.monotonic()
        grace_s = self.context.settings.bounds.stop_grace_s
        window = StopWindow.from_grace(began_at, grace_s)
        end_at = window.ends_at
        self.request_handler.begin_stop(window)
        self.context.ownership.stop_owning()
        self.context.rates.on_owners_changed()
        self.context.log.write(
            "stop", in_flight=self.request_handler.in_flight, grace_s=grace_s
        )
        hand_over = asyncio.ensure_future(self._hand_over(end_at))
        await asyncio.sleep(min(ACCEPT_PERIOD_S, grace_s / 2))
        self.caller_listener.close()
        self._log_state("stop_listener_closed")
        while clock.monotonic() < end_at:
            # Connections that were accepted last appear later, and requests
            # that were read last are not in flight yet.
            self.caller_server.close_idle()
            await asyncio.sleep(POLL_INTERVAL_S)
            if not self.caller_server.connections and hand_over.done():
                break
        await self.caller_server.leave_to_kernel(FLUSH_S)
        hand_over.cancel()
        # This host announces that it leaves even if the jobs could not be
        # handed over.
        self.discovery.leave()
        self._log_state(
            "stopped",
            elapsed_s=round(clock.monotonic() - began_at, 3),
            cut_off=self.request_handler.in_flight,
        )

    def _log_state(self, event, **fields):
        """Log a step of the stop, and what callers have not taken yet."""
        untaken = self.caller_server.untaken_answers()
        self.context.log.write(
            event,
            **fields,
            connections=len(self.caller_server.connections),
            untaken_answers=len(untaken),
            process_bytes=sum(each.process for each in untaken),
            kernel_bytes=sum(each.kernel or 0 for each in untaken),
        )

    async def _hand_over(self, end_at):
        jobs = await self.runner.hand_over(end_at - HAND_OVER_MARGIN_S)
        # Announce leaving only now: the progress of the jobs is recorded, so
        # other hosts may claim them.
        self.discovery.leave()
        await self.group_membership.leave()
        await self.discovery.deregister()
        self.context.log.write("handed_over", jobs=jobs)
