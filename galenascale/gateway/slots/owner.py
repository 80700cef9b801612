"""Answers to the other hosts for the pools that this host owns."""

import attrs

from galenascale.gateway.load import hash_key
from galenascale.gateway.servers import find_by_key
from galenascale.gateway.slots.decisions import (
    Forwarded,
    Grant,
    PoolServer,
    Queued,
    Refused,
    Spare,
    Yielded,
)
from galenascale.gateway.slots.messages import (
    make_answer,
    make_ask,
    make_held,
    make_spare,
)
from galenascale.gateway.slots.pool import LEASE_S, SlotPool
from galenascale.gateway.slots.runs import Run
from galenascale.gateway.slots.waiting import Ask
from galenascale.generated.gateway_messages import (
    SlotMessage,
    SlotMessageKind,
    SlotOutcome,
)

# Seconds after the first message about a pool in which hosts name their runs;
# until then the load that hosts tell each other counts too.
LEARNING_S = 1.5
# Seconds between two messages about free slots that did not change, and for
# which an idle pool tells its own after another pool of the service did.
SPARE_REPEAT_S = 0.4
SPARE_WANTED_S = 1.0
# Seconds between two log lines on a pool in which something waits.
PRESSURE_INTERVAL_S = 0.5


class _OwnedPool:
    def __init__(self, rng, now):
        self.slots = SlotPool(rng)
        self.learned_at = now + LEARNING_S
        self.told_spare = None
        self.told_at = float("-inf")
        self.logged_at = float("-inf")
        # When a host last took this one for a stand-in.
        self.stood_in_at = float("-inf")
        # When another pool of the service told its free slots.
        self.wanted_at = float("-inf")

    def is_active(self, now):
        """Return True if there is something to decide or to tell."""
        return self.slots.in_use or now - self.wanted_at < SPARE_WANTED_S


class PoolOwner:
    """Keeps the pools of this host and tells hosts what they decide."""

    def __init__(self, parts, pool_map, send):
        self._parts = parts
        self._map = pool_map
        self._send = send
        self._owned_by_key = {}
        # Address that told the free slots of another pool last, so it lives,
        # and the time.
        self._tellers_by_pool = {}
        self._handlers_by_kind = {
            SlotMessageKind.ASK: self._on_ask,
            SlotMessageKind.HOLD: self._on_hold,
            SlotMessageKind.ENDED: self._on_ended,
            SlotMessageKind.SPARE: self._on_spare,
        }

    def receive(self, message, address, now):
        """Take a host's message in, if it is one for an owner."""
        handler = self._handlers_by_kind.get(message.kind)
        if handler is None:
            return
        pool = self._map.pool(message.pool)
        if pool is None:
            self._answer_unknown(message, address)
            return
        if self._redirect(pool, message, address, now):
            return
        owned = self._owned(pool, now)
        if message.kind == SlotMessageKind.SPARE:
            owned.wanted_at = now
        elif message.stand_in or message.redirected:
            owned.stood_in_at = now
        decisions = handler(message, address, owned.slots, now)
        if decisions is None:
            self._answer_unknown(message, address)
        else:
            self._tell(pool, decisions, now)

    def _redirect(self, pool, message, address, now):
        """Pass a message on to the owner, unless that is this host."""
        if message.stand_in or message.redirected or self._map.is_own(pool, now):
            return False
        message.redirected = True
        message.host = message.host or address
        self._send(self._map.owner(pool, now), message)
        return True

    def _owned(self, pool, now):
        owned = self._owned_by_key.get(pool.key)
        if owned is None:
            owned = self._owned_by_key[pool.key] = _OwnedPool(self._parts.rng, now)
            self._refresh(pool, owned, now)
            self._parts.log.write(
                "pool_owned", service=pool.service, failure_domain=pool.failure_domain
            )
        return owned

    def _answer_unknown(self, message, address):
        if message.kind == SlotMessageKind.ASK:
            answer = SlotMessage(
                kind=SlotMessageKind.UNKNOWN_POOL, pool=message.pool, run=message.run
            )
            self._send(message.host or address, answer)

    def _on_ask(self, message, address, slots, now):
        if not slots.has_servers:
            return None
        ask = Ask(
            host=message.host or address,
            number=message.run,
            batch=message.batch,
            start_by=now + message.wait_ms / 1000,
            avoid=frozenset(message.avoid),
            returned=message.returned,
            refusable=message.refusable,
            forwarded=message.forwarded,
        )
        return slots.ask(ask, now)

    def _on_hold(self, message, address, slots, now):
        host = message.host or address
        run = Run(
            host=host,
            number=message.run,
            server_key=message.server,
            batch=message.batch,
            slack_s=message.wait_ms / 1000,
            began_at=now,
            seen_at=now,
        )
        # The host learns by the answer that it named the run to the owner.
        self._send(host, make_held(message))
        return slots.hold(run, now)

    def _on_ended(self, message, address, slots, now):
        host = message.host or address
        if host != self._map.own_address:
            self._judge(message, now)
        refused = message.outcome == SlotOutcome.REFUSED
        return slots.end((host, message.run), now, refused=refused)

    def _judge(self, message, now):
        """Learn from another host's run how a server does."""
        entry = find_by_key(self._parts.servers.all_entries(), message.server)
        if entry is None:
            return
        health = self._parts.health
        if message.outcome == SlotOutcome.SERVED:
            health.record_success(entry.incarnation, now)
        elif message.outcome == SlotOutcome.FAILED:
            health.record_failure(entry.incarnation, now)
        elif message.outcome == SlotOutcome.UNREACHABLE:
            health.mark_suspected(entry.incarnation, now)

    def _on_spare(self, message, address, slots, now):
        self._tellers_by_pool[message.from_pool] = (address, now)
        spare = Spare(message.free, message.free_for_batch, message.batch_runs)
        return slots.learn_spare(message.from_pool, spare, now)

    def _tell(self, pool, decisions, now):
        for decision in decisions:
            match decision:
                case Forwarded():
                    self._forward(decision, now)
                case Yielded():
                    message = SlotMessage(
                        kind=SlotMessageKind.MAKE_ROOM,
                        pool=pool.key,
                        run=decision.number,
                    )
                    self._send(decision.host, message)
                case Grant() | Queued() | Refused():
                    self._send(decision.ask.host, make_answer(pool, decision))

    def _forward(self, decision, now):
        pool = self._map.pool(decision.pool_key)
        if pool is None:
            # The host asks again.
            return
        ask = attrs.evolve(decision.ask, forwarded=True)
        message = make_ask(pool, ask, now, host=ask.host)
        self._send(self._owner_of(pool, now), message)

    def _owner_of(self, pool, now):
        """Return the address of another pool's owner, as it told itself."""
        address, told_at = self._tellers_by_pool.get(pool.key, ("", float("-inf")))
        if now - told_at <= SPARE_WANTED_S:
            return address
        return self._map.owner(pool, now)

    # Time.

    def tick(self, now):
        """Decide anew on all pools that have runs or asks."""
        for key, owned in list(self._owned_by_key.items()):
            pool = self._map.pool(key)
            if pool is None:
                del self._owned_by_key[key]
                continue
            if not owned.is_active(now):
                continue
            stands_in = now - owned.stood_in_at < LEASE_S
            if not stands_in and not self._map.is_own(pool, now):
                # Its hosts name their runs to the present owner.
                del self._owned_by_key[key]
                continue
            self._refresh(pool, owned, now)
            self._tell(pool, owned.slots.tick(now), now)
            self._log_pressure(pool, owned, now)
            if self._map.is_own(pool, now):
                self._tell_spare(pool, owned, now)

    def _log_pressure(self, pool, owned, now):
        pressure = owned.slots.pressure()
        if pressure is None or now - owned.logged_at < PRESSURE_INTERVAL_S:
            return
        owned.logged_at = now
        self._parts.log.write(
            "pool_full",
            service=pool.service,
            failure_domain=pool.failure_domain,
            **attrs.asdict(pressure),
        )

    def _refresh(self, pool, owned, now):
        parts = self._parts
        entries = [
            entry
            for entry in parts.servers.usable(pool.service, now)
            if pool.has(entry)
        ]
        in_reach = [
            entry
            for entry in entries
            if not parts.health.is_unreachable(entry.incarnation)
        ]
        learning = now < owned.learned_at
        owned.slots.set_servers(
            [
                PoolServer(
                    key=hash_key(entry.server_id),
                    slots=entry.slots,
                    quality=parts.health.quality(entry.incarnation, now),
                    told=parts.load.total_at(entry.server_id).total if learning else 0,
                )
                for entry in in_reach
            ]
        )

    def _tell_spare(self, pool, owned, now):
        spare = owned.slots.spare()
        if spare == owned.told_spare and now - owned.told_at < SPARE_REPEAT_S:
            return
        owned.told_spare = spare
        owned.told_at = now
        for other in self._map.others(pool):
            message = make_spare(other, pool, spare)
            self._send(self._owner_of(other, now), message)
