"""
The gateway with one mechanism of decision switched off, to measure its worth.

`prepare` makes a checkout start its gateways so; then the same days are played
on it and on an unchanged one. Nothing of this is in the product.

    python -m bench.ablation list
    python -m bench.ablation prepare NAME CHECKOUT
    python -m bench.ablation run NAME ARGUMENTS_OF_GALENASCALE...
"""

import pathlib
import sys

from galenascale.errors import UserError
from galenascale.gateway import admission, balancing, health, peer_state, reachability
from galenascale.gateway.jobs import item_runs, relaying_store, scheduler
from galenascale.gateway.jobs.runner import JobRunner
from galenascale.gateway.slot_shares import SlotShares
from galenascale.gateway.slots import pool, runs, wait_queue
from galenascale.gateway.slots.client import SlotClient
from galenascale.gateway.slots.owner import PoolOwner
from galenascale.gateway.stopping import GracefulStop

DEPLOY_FILE = "deploy/system.toml"
COMMAND = "python3 -m galenascale "
NEVER_S = 1e9


def _set(owner, name, value):
    """Replace what a module or class has under a name."""
    if not hasattr(owner, name):
        raise AttributeError(f"{owner!r} has no {name}")
    setattr(owner, name, value)


def _without_own_slots():
    _set(SlotShares, "own_slots", lambda shares, server: 0)


def _without_stale_load_rule():
    _set(SlotShares, "is_load_stale", False)


def _without_quality():
    _set(health.ServerHealth, "quality", lambda servers, incarnation, now: 1.0)


def _without_fading():
    _set(health, "FAILURE_DECAY_S", NEVER_S)


def _without_domain_weight():
    _set(balancing, "OWN_DOMAIN_WEIGHT", 1.0)
    _set(balancing, "RETRY_DOMAIN_WEIGHT", 1.0)


def _without_refusal():
    _set(admission.Admission, "may_refuse", lambda *args: False)


def _without_memory_of_refusals():
    _set(admission.Admission, "was_refused", lambda *args: False)


def _without_owners_for_requests():
    async def acquire(*args, **fields):
        return None

    _set(SlotClient, "acquire", acquire)


def _without_other_pools():
    _set(pool.SlotPool, "_forward", lambda *args: [])


def _without_reserve():
    _set(pool.SlotPool, "reserve", lambda slots: 0)


def _without_room_for_requests():
    _set(pool.SlotPool, "_item_to_preempt", lambda *args: None)
    _set(pool.SlotPool, "_preempt_excess_items", lambda *args: [])


def _without_yield_order():
    _set(runs, "preemption_order", lambda run: run.run_id)


def _without_order_of_waiting():
    _set(wait_queue, "queue_order", lambda request, now: request.run_id)


def _without_spread():
    def first_server(slots, avoid, now):
        for server in slots._servers_by_key.values():
            if slots._free_on(server) > 0 and server.key not in avoid:
                return server
        return None

    _set(pool.SlotPool, "_best_server", first_server)


def _without_shared_failures():
    _set(PoolOwner, "_record_outcome", lambda *args: None)


def _without_start_order():
    _set(scheduler, "start_order", lambda item, now_ms, estimate: item.due_at_ms)


def _without_checks_of_silent_servers():
    _set(reachability, "SILENCE_BEFORE_CHECK_S", NEVER_S)


def _without_checks_beside():
    _set(reachability.Reachability, "suspect", lambda checks, server: None)


def _without_relayed_state():
    async def run(_):
        return

    _set(peer_state.PeerStateFetcher, "run", run)


def _without_relayed_store_calls():
    _set(relaying_store.RelayingStore, "_relay_peer", lambda access: None)


def _without_resumption():
    read = item_runs.run_item

    async def run_from_start(context, dispatcher, item, *args):
        item.event_data = []
        item.last_event_id = None
        return await read(context, dispatcher, item, *args)

    _set(sys.modules[JobRunner.__module__], "run_item", run_from_start)


def _without_hand_over():
    async def hand_over(stop):
        stop.runner.stopping = True
        stop.discovery.leave()

    _set(GracefulStop, "_hand_over", hand_over)


SWITCHES_BY_NAME = {
    "own_slots": _without_own_slots,
    "stale_load_rule": _without_stale_load_rule,
    "quality": _without_quality,
    "fading": _without_fading,
    "domain_weight": _without_domain_weight,
    "refusal": _without_refusal,
    "memory_of_refusals": _without_memory_of_refusals,
    "owners_for_requests": _without_owners_for_requests,
    "other_pools": _without_other_pools,
    "reserve": _without_reserve,
    "room_for_requests": _without_room_for_requests,
    "yield_order": _without_yield_order,
    "order_of_waiting": _without_order_of_waiting,
    "spread": _without_spread,
    "shared_failures": _without_shared_failures,
    "start_order": _without_start_order,
    "checks_of_silent_servers": _without_checks_of_silent_servers,
    "checks_beside": _without_checks_beside,
    "relayed_state": _without_relayed_state,
    "relayed_store_calls": _without_relayed_store_calls,
    "resumption": _without_resumption,
    "hand_over": _without_hand_over,
}


def prepare(name, checkout):
    """Let a checkout start its gateways without a mechanism."""
    if name not in SWITCHES_BY_NAME:
        raise UserError(f"no mechanism {name!r}", step="ablation")
    path = pathlib.Path(checkout) / DEPLOY_FILE
    text = path.read_text()
    if text.count(COMMAND) != 1:
        raise UserError(f"{path}: no command {COMMAND!r}", step="ablation")
    path.write_text(text.replace(COMMAND, f"python3 -m bench.ablation run {name} "))


def run(name, arguments):
    """Run galenascale without a mechanism."""
    from galenascale.__main__ import main as galenascale

    SWITCHES_BY_NAME[name]()
    sys.argv = ["galenascale", *arguments]
    galenascale()


def main():
    """Do what the command line says."""
    match sys.argv[1:]:
        case ["list"]:
            print("\n".join(SWITCHES_BY_NAME))
        case ["prepare", name, checkout]:
            try:
                prepare(name, checkout)
            except UserError as error:
                sys.exit(error.message)
        case ["run", name, *arguments] if name in SWITCHES_BY_NAME:
            run(name, arguments)
        case _:
            sys.exit(__doc__)


if __name__ == "__main__":
    main()
