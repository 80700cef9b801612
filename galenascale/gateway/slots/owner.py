"""Serving of slot requests for the pools that this host owns."""

import functools
import math

import attrs

from galenascale.gateway.slots.crossing import CrossingTimes, to_stamp
from galenascale.gateway.slots.decisions import (
    Forwarded,
    Grant,
    Preempted,
    Queued,
    Refused,
)
from galenascale.gateway.slots.messages import (
    make_answer,
    make_ask,
    make_free_slots,
    make_hold_ack,
    read_free_slots,
)
from galenascale.gateway.slots.owner_records import (
    count_effects,
    record_outcome,
)
from galenascale.gateway.slots.pace import LimitPart
from galenascale.gateway.slots.pool import LEASE_S, SlotPool
from galenascale.gateway.slots.pool_log import PoolLog
from galenascale.gateway.slots.pool_servers import grantable_servers
from galenascale.gateway.slots.runs import Run
from galenascale.gateway.slots.tenant_shares import weights_by_key
from galenascale.gateway.slots.wait_queue import SlotRequest
from galenascale.generated.gateway_messages import (
    SlotMessage,
    SlotMessageKind,
    SlotOutcome,
)

# Seconds after the first message about a pool in which hosts renew their runs;
# until then the load that hosts report to each other counts too.
LEARNING_PERIOD_S = 1.5
# Seconds between two reports of free slots that did not change.
FREE_SLOTS_REPEAT_S = 0.4
# Seconds after a report from another pool of the service for which its sender
# counts as owner of that pool, and for which an idle pool reports too.
PEER_REPORT_MAX_AGE_S = 1.0


class _OwnedPool:
    """A pool that this host owns; times are monotonic seconds."""

    def __init__(self, context, pool, now):
        self.slots = SlotPool(context.rng)
        self.log = PoolLog(context, pool, now)
        self.learning_until = now + LEARNING_PERIOD_S
        self.reported_free_slots = None
        self.reported_at = float("-inf")
        # When a host last treated this one as a substitute owner.
        self.substitute_at = float("-inf")
        # When another pool of the service last reported its free slots.
        self.peer_report_at = float("-inf")

    def is_active(self, now):
        """Return True if the pool has requests, runs or reports to send."""
        return self.slots.in_use or now - self.peer_report_at < PEER_REPORT_MAX_AGE_S


class PoolOwner:
    """Runs the pools of this host and sends their decisions to hosts."""

    def __init__(self, context, pool_map, send):
        self._context = context
        self._pool_map = pool_map
        self._send = send
        self._owned_by_key = {}
        # For each other pool: the address that last reported its free slots,
        # which is a live owner, and when.
        self._reporters_by_pool = {}
        self._crossings = CrossingTimes()
        self._handlers_by_kind = {
            SlotMessageKind.ASK: self._on_ask,
            SlotMessageKind.HOLD: self._on_hold,
            SlotMessageKind.ENDED: self._on_ended,
            SlotMessageKind.SPARE: self._on_spare,
        }

    def receive(self, message, address, now):
        """Handle a host's message; ignore those for clients."""
        if (handler := self._handlers_by_kind.get(message.kind)) is None:
            return
        pool = self._pool_map.pool_by_key(message.pool)
        if pool is None:
            self._reply_unknown_pool(message, address)
            return
        if self._redirect(pool, message, address, now):
            return
        owned = self._get_or_create(pool, now)
        if not owned.is_active(now):
            self._refresh(pool, owned, now)
        if message.kind == SlotMessageKind.SPARE:
            owned.peer_report_at = now
        elif message.stand_in or message.redirected:
            owned.substitute_at = now
        decisions = handler(message, address, owned.slots, now)
        if decisions is None:
            self._reply_unknown_pool(message, address)
        else:
            self._send_decisions(pool, decisions, now)

    def _redirect(self, pool, message, address, now):
        """Forward a message to the owner; return False if it is this host."""
        if message.stand_in or message.redirected or self._pool_map.is_own(pool, now):
            return False
        message.redirected = True
        message.host = message.host or address
        self._send(self._pool_map.owner(pool, now), message)
        return True

    def _get_or_create(self, pool, now):
        owned = self._owned_by_key.get(pool.key)
        if owned is None:
            owned = self._owned_by_key[pool.key] = _OwnedPool(self._context, pool, now)
            self._refresh(pool, owned, now)
            self._context.log.write(
                "pool_owned", service=pool.service, failure_domain=pool.failure_domain
            )
        return owned

    def _reply_unknown_pool(self, message, address):
        if message.kind == SlotMessageKind.ASK:
            answer = SlotMessage(
                kind=SlotMessageKind.UNKNOWN_POOL, pool=message.pool, run=message.run
            )
            self._send(message.host or address, answer)

    def _on_ask(self, message, address, slots, now):
        if not slots.has_servers:
            return None
        request = SlotRequest(
            host=message.host or address,
            number=message.run,
            batch=message.batch,
            start_by=now + message.wait_ms / 1000,
            avoid=frozenset(message.avoid),
            returned=message.returned,
            refusable=message.refusable,
            forwarded=message.forwarded,
            give_up_at=now + (message.give_up_ms / 1000 or math.inf),
            tenant=message.tenant,
            tokens=message.tokens,
            memory_tokens=message.memory_tokens,
        )
        return slots.submit(request, now)

    def _on_hold(self, message, address, slots, now):
        host = message.host or address
        run = Run(
            host=host,
            number=message.run,
            server_key=message.server,
            batch=message.batch,
            slack_s=message.wait_ms / 1000,
            started_at=now,
            seen_at=now,
            tenant=message.tenant,
            memory_tokens=message.memory_tokens,
        )
        # Confirms to the host that this owner counts the run.
        self._send(host, make_hold_ack(message))
        is_new = not self._is_learning(message.pool, now)
        return slots.record_run(run, now, new=is_new)

    def _is_learning(self, pool_key, now):
        """Return True while hosts may name runs that others granted."""
        return now < self._owned_by_key[pool_key].learning_until

    def _on_ended(self, message, address, slots, now):
        host = message.host or address
        if host != self._pool_map.own_address:
            record_outcome(self._context, message, now)
        return slots.end(
            (host, message.run),
            now,
            refused=message.outcome == SlotOutcome.REFUSED,
            served=message.outcome == SlotOutcome.SERVED,
        )

    def _on_spare(self, message, address, slots, now):
        self._reporters_by_pool[message.from_pool] = (address, now)
        pool_key = message.from_pool
        self._crossings.record(pool_key, message.stamp_us, message.echo_us, now)
        free_slots = read_free_slots(message, self._crossings.crossing_s(pool_key))
        return slots.update_free_slots(message.from_pool, free_slots, now)

    def _send_decisions(self, pool, decisions, now):
        for decision in decisions:
            count_effects(self._context, decision)
            match decision:
                case Forwarded():
                    self._forward(decision, now)
                case Preempted():
                    message = SlotMessage(
                        kind=SlotMessageKind.MAKE_ROOM,
                        pool=pool.key,
                        run=decision.number,
                    )
                    self._send(decision.host, message)
                case Grant() | Queued() | Refused():
                    self._send(decision.request.host, make_answer(pool, decision))

    def _forward(self, decision, now):
        pool = self._pool_map.pool_by_key(decision.pool_key)
        if pool is None:
            # The pool has gone meanwhile; the host repeats its request.
            return
        request = attrs.evolve(decision.request, forwarded=True)
        message = make_ask(pool, request, now, host=request.host)
        self._send(self._owner_address(pool, now), message)

    def _owner_address(self, pool, now):
        """Return the address that reports for a pool, or else its owner."""
        address, reported_at = self._reporters_by_pool.get(
            pool.key, ("", float("-inf"))
        )
        if now - reported_at <= PEER_REPORT_MAX_AGE_S:
            return address
        return self._pool_map.owner(pool, now)

    def tick(self, now):
        """Refresh and schedule all active pools; drop those not owned."""
        for key, owned in list(self._owned_by_key.items()):
            pool = self._pool_map.pool_by_key(key)
            if pool is None:
                del self._owned_by_key[key]
                continue
            if not owned.is_active(now):
                continue
            is_substitute = now - owned.substitute_at < LEASE_S
            if not is_substitute and not self._pool_map.is_own(pool, now):
                # Hosts renew their runs with the present owner.
                del self._owned_by_key[key]
                continue
            self._refresh(pool, owned, now)
            self._send_decisions(pool, owned.slots.tick(now), now)
            owned.log.write(
                owned.slots, functools.partial(self._standing, pool, owned), now
            )
            if self._pool_map.is_own(pool, now):
                self._report_free_slots(pool, owned, now)

    def _refresh(self, pool, owned, now):
        context = self._context
        part = LimitPart()
        if context.limits:
            part = LimitPart.from_standing(self._standing(pool, owned))
        learning = now < owned.learning_until
        owned.slots.leave_domain = context.settings.leave_domain
        owned.slots.shares.set_weights(weights_by_key(context.settings.tenant_weights))
        owned.slots.set_servers(
            grantable_servers(context, pool, part, now, learning=learning),
            by_speed=context.settings.server_speeds,
        )

    def _standing(self, pool, owned):
        """Return this host's Standing as owner of a pool."""
        return self._pool_map.standing(pool, owned.slots.host_count())

    def _report_free_slots(self, pool, owned, now):
        free_slots = owned.slots.free_slots()
        if self._context.limits or self._context.settings.leave_domain:
            owned.slots.add_forecast(free_slots, now)
        if (
            free_slots == owned.reported_free_slots
            and now - owned.reported_at < FREE_SLOTS_REPEAT_S
        ):
            return
        owned.reported_free_slots = free_slots
        owned.reported_at = now
        for other in self._pool_map.sibling_pools(pool):
            echo_us = self._crossings.echo_us(other.key, now)
            message = make_free_slots(other, pool, free_slots, to_stamp(now), echo_us)
            self._send(self._owner_address(other, now), message)
