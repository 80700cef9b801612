"""Questions to the owners of tenants' rates about this host's requests."""

import asyncio
import itertools

import attrs

from galenascale.gateway.attempts import not_run_error
from galenascale.gateway.rates.limits import RateLimit
from galenascale.gateway.rates.owner import rate_name
from galenascale.generated.gateway_messages import RateMessage, RateMessageKind
from galenascale.rate_limit import RateBucket

# Seconds in which an owner answers, with an exchange of datagrams with other
# domains in between. A message may be lost, so a question is sent twice.
ANSWER_TIMEOUT_S = 0.03
ANSWER_ATTEMPTS = 2
# Owners that are asked about one request: the regular one and a substitute.
MAX_OWNERS = 2
# Seconds for which owners are not asked after all that were asked had been
# silent: this host is probably cut off.
ISOLATION_S = 0.5
# Retry-After in seconds of a host that no owner answers. The caller's next
# attempt meets another host.
ISOLATED_RETRY_S = 0.1


@attrs.frozen
class RateAnswer:
    """Decision of an owner."""

    # Seconds until a token is expected; 0 if the request may run.
    wait_s: float
    # Address of the owner.
    owner: str


class RateClient:
    """Asks owners before requests of tenants run."""

    def __init__(self, context, send, started_ms):
        self._context = context
        self._ownership = context.ownership
        self._send = send
        # Unique among the runs of this host, across restarts too.
        self._numbers = itertools.count(started_ms << 16)
        self._futures_by_number = {}
        self._isolated_until = float("-inf")
        # Tokens of this host while no owner answers, by tenant.
        self._unowned_by_tenant = {}

    def _now(self):
        return self._context.clock.monotonic()

    async def admit(self, tenant_name):
        """
        Return once a request of a tenant may run.

        Raise RequestFailed (429, not run) if the tenant's rate is used up, or
        (503) if no owner answers and this host's own tokens are used up.
        """
        tenant = self._context.configuration.tenant(tenant_name)
        if tenant is None or not tenant.requests_per_s:
            return
        answer = await self._ask_owners(tenant_name)
        if answer is None:
            self._take_unowned(tenant)
        elif answer.wait_s:
            self._context.metrics.count_rejection(tenant_name, "rate_limited")
            raise not_run_error(
                f"tenant sends more than {tenant.requests_per_s:g} requests/s; "
                f"{answer.owner} expects a token in {answer.wait_s:.3f} s",
                code="rate_limited",
                http_status=429,
                retry_after_s=answer.wait_s,
            )

    async def _ask_owners(self, tenant):
        if self._now() < self._isolated_until:
            return None
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._futures_by_number[number] = future
        try:
            for _ in range(MAX_OWNERS):
                if await self._ask_owner(tenant, number, future):
                    return future.result()
        finally:
            del self._futures_by_number[number]
        self._isolated_until = self._now() + ISOLATION_S
        return None

    async def _ask_owner(self, tenant, number, future):
        """Ask the present owner; return True if any owner has answered."""
        name, domain = rate_name(tenant), self._ownership.own_domain
        owner = self._ownership.owner(name, domain, self._now())
        for _ in range(ANSWER_ATTEMPTS):
            message = RateMessage(
                kind=RateMessageKind.ASK,
                tenant=tenant,
                number=number,
                stand_in=self._ownership.is_substitute(
                    name, domain, owner, self._now()
                ),
            )
            self._send(owner, message)
            await asyncio.wait((future,), timeout=ANSWER_TIMEOUT_S)
            if future.done():
                return True
        self._ownership.suspect(owner, self._now())
        self._context.log.write("rate_owner_silent", owner=owner, tenant=tenant)
        return False

    def _take_unowned(self, tenant):
        """Take one of this host's own tokens; raise RequestFailed if none."""
        now = self._now()
        limit = RateLimit.from_config(tenant, self._context.settings)
        capacity = limit.unowned_capacity(self._ownership.host_count)
        bucket = self._unowned_by_tenant.get(tenant.name)
        if bucket is None:
            bucket = RateBucket(capacity, now)
            self._unowned_by_tenant[tenant.name] = bucket
        if bucket.take(capacity / limit.window_s, now, capacity):
            self._context.metrics.count_rejection(tenant.name, "rate_unknown")
            raise not_run_error(
                "no host answers that knows the rate of the tenant",
                code="rate_unknown",
                retry_after_s=ISOLATED_RETRY_S,
            )

    def receive(self, message, address, now):
        """Handle an owner's answer; ignore messages for owners."""
        if message.kind != RateMessageKind.ANSWER:
            return
        self._ownership.clear_suspicion(address)
        future = self._futures_by_number.get(message.number)
        if future is not None and not future.done():
            future.set_result(RateAnswer(message.wait_ms / 1000, address))
