"""Decides about requests of the tenants whose rates this host owns."""

import itertools

import attrs

from galenascale.gateway.rates.limits import RateLimit
from galenascale.gateway.rates.share import DomainShare
from galenascale.generated.gateway_messages import RateMessage, RateMessageKind

# Seconds for which a request waits for tokens of other domains, one exchange
# of datagrams away.
LOAN_WAIT_S = 0.02
# Shortest time in seconds between two rounds of loans for a tenant.
LOAN_INTERVAL_S = 0.1
# Share of the capacity below which tokens are borrowed ahead of need.
LOW_SHARE = 0.25
# Seconds for which decisions are kept, as a host repeats its question.
DECISION_TTL_S = 1.0
# Seconds without a step after which this host may have been suspended, while
# a substitute decided.
MAX_STEP_S = 1.0
# Seconds for which a substitute keeps a share that is not used.
SUBSTITUTE_TTL_S = 2.0
MILLITOKENS = 1000


def rate_name(tenant):
    """Return the name by which the owner of a tenant's rate is found."""
    return f"rate/{tenant}"


@attrs.define(eq=False)
class _Question:
    """A request that waits for borrowed tokens."""

    host: str
    number: int
    # Monotonic time in seconds.
    give_up_at: float


@attrs.define(eq=False)
class _OwnedRate:
    """A tenant's share with its loans and waiting requests."""

    share: DomainShare
    questions: list = attrs.field(factory=list)
    # Addresses that have not answered the last round of loans.
    lenders: set = attrs.field(factory=set)
    loan_number: int = 0
    loan_at: float = float("-inf")


class RateOwner:
    """Keeps the shares that this host owns in its failure domain."""

    def __init__(self, context, send, call_later):
        self._context = context
        self._ownership = context.ownership
        self._send = send
        # Called with a delay in seconds, a function and its arguments.
        self._call_later = call_later
        self._owned_by_tenant = {}
        self._decisions_by_question = {}
        self._loan_numbers = itertools.count(1)
        self._stepped_at = None
        self._handlers_by_kind = {
            RateMessageKind.ASK: self._on_ask,
            RateMessageKind.BORROW: self._on_borrow,
            RateMessageKind.LEND: self._on_lend,
        }

    def receive(self, message, address, now):
        """Handle a message from a host; ignore those for clients."""
        handler = self._handlers_by_kind.get(message.kind)
        if handler is not None:
            self._check_pause(now)
            handler(message, address, now)

    def _limit(self, name):
        """Return the RateLimit of a tenant, or None without a limit."""
        tenant = self._context.configuration.tenant(name)
        if tenant is None or not tenant.requests_per_s:
            return None
        return RateLimit.from_config(tenant, self._context.settings)

    def _is_own(self, tenant, now):
        own_domain = self._ownership.own_domain
        return self._ownership.is_own(rate_name(tenant), own_domain, now)

    def _get_or_create(self, tenant, limit, now):
        owned = self._owned_by_tenant.get(tenant)
        if owned is None:
            owned = _OwnedRate(DomainShare.start(limit, now))
            self._owned_by_tenant[tenant] = owned
        return owned

    def _on_ask(self, message, address, now):
        host = message.host or address
        passed_on = message.stand_in or message.redirected
        if not passed_on and not self._is_own(message.tenant, now):
            self._redirect(message, host, now)
            return
        key = (host, message.number)
        known = self._decisions_by_question.get(key)
        if known is not None:
            self._send(host, known[0])
            return
        limit = self._limit(message.tenant)
        if limit is None:
            self._answer(message.tenant, key, 0.0, now)
            return
        owned = self._get_or_create(message.tenant, limit, now)
        granted = not owned.questions and owned.share.take(limit, now)
        if granted:
            self._answer(message.tenant, key, 0.0, now)
        else:
            owned.questions.append(_Question(*key, now + LOAN_WAIT_S))
        self._borrow(message.tenant, owned, limit, now)
        self._decide(message.tenant, now)

    def _redirect(self, message, host, now):
        message.redirected = True
        message.host = host
        owner = self._ownership.owner(
            rate_name(message.tenant), self._ownership.own_domain, now
        )
        self._send(owner, message)

    def _answer(self, tenant, key, wait_s, now):
        host, number = key
        message = RateMessage(
            kind=RateMessageKind.ANSWER,
            tenant=tenant,
            number=number,
            wait_ms=max(1, round(wait_s * 1000)) if wait_s else 0,
        )
        self._decisions_by_question[key] = (message, now)
        self._send(host, message)

    def _decide(self, tenant, now):
        """Answer the waiting requests that can be decided."""
        owned = self._owned_by_tenant.get(tenant)
        limit = self._limit(tenant)
        if owned is None:
            return
        while owned.questions:
            question = owned.questions[0]
            key = (question.host, question.number)
            if limit is None or owned.share.take(limit, now):
                self._answer(tenant, key, 0.0, now)
            elif owned.lenders and now < question.give_up_at:
                return
            else:
                self._answer(tenant, key, owned.share.promise(limit, now), now)
            del owned.questions[0]

    def _borrow(self, tenant, owned, limit, now):
        """Ask the owners in other domains for tokens, if few are left."""
        low = max(1.0, limit.domain_capacity * LOW_SHARE)
        if (
            owned.share.available(limit, now) >= low
            or now - owned.loan_at < LOAN_INTERVAL_S
        ):
            return
        owned.loan_at = now
        owned.loan_number = next(self._loan_numbers)
        owned.lenders = set(self._lenders(tenant, now))
        message = RateMessage(
            kind=RateMessageKind.BORROW,
            tenant=tenant,
            number=owned.loan_number,
            millitokens=int(owned.share.missing(limit, now) * MILLITOKENS),
        )
        for address in owned.lenders:
            self._send(address, message)
        if owned.lenders:
            self._call_later(LOAN_WAIT_S, self._end_loan, tenant, owned.loan_number)

    def _lenders(self, tenant, now):
        ownership = self._ownership
        for domain in self._context.settings.failure_domains:
            if domain != ownership.own_domain and ownership.has_hosts_in(domain):
                yield ownership.owner(rate_name(tenant), domain, now)

    def _end_loan(self, tenant, number):
        owned = self._owned_by_tenant.get(tenant)
        if owned is not None and owned.loan_number == number:
            owned.lenders = set()
            self._decide(tenant, self._context.clock.monotonic())

    def _on_borrow(self, message, address, now):
        limit = self._limit(message.tenant)
        if limit is None or not self._is_own(message.tenant, now):
            tokens = 0.0
        else:
            owned = self._get_or_create(message.tenant, limit, now)
            wanted = message.millitokens / MILLITOKENS
            tokens = 0.0
            if not owned.questions:
                tokens = owned.share.lend(limit, wanted, now)
        self._send_loan(address, message.tenant, message.number, tokens)

    def _send_loan(self, address, tenant, number, tokens):
        message = RateMessage(
            kind=RateMessageKind.LEND,
            tenant=tenant,
            number=number,
            millitokens=int(tokens * MILLITOKENS),
        )
        self._send(address, message)

    def _on_lend(self, message, address, now):
        limit = self._limit(message.tenant)
        if limit is None:
            return
        if message.number == 0:
            if not self._is_own(message.tenant, now):
                return
            owned = self._get_or_create(message.tenant, limit, now)
        else:
            owned = self._owned_by_tenant.get(message.tenant)
            if owned is None or message.number != owned.loan_number:
                return
            if address not in owned.lenders:
                # Too late, or a second copy.
                return
            owned.lenders.discard(address)
        owned.share.add(limit, max(0, message.millitokens) / MILLITOKENS, now)
        self._decide(message.tenant, now)

    def hand_over(self, now):
        """Give the tokens of rates that this host no longer owns away."""
        own_domain = self._ownership.own_domain
        for tenant, owned in list(self._owned_by_tenant.items()):
            if self._is_own(tenant, now) or owned.questions:
                continue
            del self._owned_by_tenant[tenant]
            limit = self._limit(tenant)
            if limit is not None:
                owner = self._ownership.owner(rate_name(tenant), own_domain, now)
                tokens = owned.share.available(limit, now)
                self._send_loan(owner, tenant, 0, tokens)

    def _check_pause(self, now):
        """Give up tokens collected while this host may have been suspended."""
        paused = self._stepped_at is not None and now - self._stepped_at > MAX_STEP_S
        self._stepped_at = now
        if not paused:
            return
        for tenant, owned in self._owned_by_tenant.items():
            limit = self._limit(tenant)
            if limit is not None:
                owned.share.available(limit, now)
                owned.share.restrict(limit)

    def tick(self, now):
        """Drop old decisions, and shares kept as a substitute."""
        self._check_pause(now)
        for key, (_, decided_at) in list(self._decisions_by_question.items()):
            if now - decided_at > DECISION_TTL_S:
                del self._decisions_by_question[key]
        for tenant, owned in list(self._owned_by_tenant.items()):
            idle_s = now - owned.share.used_at
            if idle_s > SUBSTITUTE_TTL_S and not self._is_own(tenant, now):
                del self._owned_by_tenant[tenant]
