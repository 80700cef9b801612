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
from galenascale.gateway.slots import (
    owner,
    pool,
    runs,
    server_slots,
    sibling_pools,
    wait_queue,
)
from galenascale.gateway.slots.client import SlotClient
from galenascale.gateway.stopping import GracefulStop

DEPLOY_FILE = "deploy/system.toml"
# What the deploy file runs, and what it runs without a mechanism. The platform
# puts the settings at this path.
GATEWAY_COMMAND = "python3 -m galenascale.platform"
ABLATED_COMMAND = (
    "python3 -m bench.ablation run {} gateway --settings /etc/galenascale/local.yaml"
)
# Longer than any run.
INFINITE_DELAY_S = 1e9


def _replace_attribute(owner, name, value):
    """Set an existing attribute; raise AttributeError if it is missing."""
    if not hasattr(owner, name):
        raise AttributeError(f"{owner!r} has no {name}")
    setattr(owner, name, value)


def _disable_own_slots():
    _replace_attribute(SlotShares, "own_slots", lambda shares, server: 0)


def _treat_load_as_current():
    _replace_attribute(SlotShares, "is_load_stale", False)


def _ignore_server_quality():
    _replace_attribute(
        health.ServerHealth, "quality", lambda servers, incarnation, now: 1.0
    )


def _disable_failure_decay():
    _replace_attribute(health, "FAILURE_DECAY_S", INFINITE_DELAY_S)


def _ignore_failure_domains():
    _replace_attribute(balancing, "OWN_DOMAIN_WEIGHT", 1.0)
    _replace_attribute(balancing, "RETRY_DOMAIN_WEIGHT", 1.0)


def _disable_admission_refusal():
    _replace_attribute(admission.Admission, "may_refuse", lambda *args: False)


def _ignore_earlier_refusals():
    _replace_attribute(admission.Admission, "was_refused", lambda *args: False)


def _disable_slot_requests():
    async def acquire(*args, **fields):
        return None

    _replace_attribute(SlotClient, "acquire", acquire)


def _disable_pool_forwarding():
    _replace_attribute(sibling_pools.SiblingPools, "forward", lambda *args: [])


def _disable_batch_reserve():
    _replace_attribute(pool.SlotPool, "reserve", lambda slots: 0)


def _disable_preemption():
    _replace_attribute(pool, "item_to_preempt", lambda *args: None)
    _replace_attribute(pool, "preempt_excess_items", lambda *args: [])


def _preempt_in_run_id_order():
    _replace_attribute(runs, "preemption_order", lambda run: run.run_id)


def _queue_in_run_id_order():
    def run_id_order(request, now, excess=0.0):
        return request.run_id

    _replace_attribute(wait_queue, "queue_order", run_id_order)


def _pick_first_free_server():
    def first_server(slots, request, now):
        for server in slots._servers_by_key.values():
            if slots._free_on(server) > 0 and server.key not in request.avoid:
                return server
        return None

    _replace_attribute(server_slots.ServerSlots, "best", first_server)


def _ignore_failures_on_other_hosts():
    _replace_attribute(owner, "record_outcome", lambda *args: None)


def _start_items_in_due_order():
    _replace_attribute(
        scheduler, "start_order", lambda item, now_ms, estimate: item.due_at_ms
    )


def _disable_silence_checks():
    _replace_attribute(reachability, "SILENCE_BEFORE_CHECK_S", INFINITE_DELAY_S)


def _disable_suspicion_checks():
    _replace_attribute(
        reachability.Reachability, "suspect", lambda checks, server: None
    )


def _disable_state_relay():
    async def run(_):
        return

    _replace_attribute(peer_state.PeerStateFetcher, "run", run)


def _disable_store_relay():
    _replace_attribute(relaying_store.RelayingStore, "_relay_peer", lambda access: None)


def _restart_streams_from_beginning():
    run_item = item_runs.run_item

    async def run_from_start(context, dispatcher, item, *args):
        item.event_data = []
        item.last_event_id = None
        return await run_item(context, dispatcher, item, *args)

    _replace_attribute(sys.modules[JobRunner.__module__], "run_item", run_from_start)


def _disable_hand_over():
    async def hand_over(stop):
        stop.runner.stopping = True
        stop.discovery.leave()

    _replace_attribute(GracefulStop, "_hand_over", hand_over)


SWITCHES_BY_NAME = {
    "own_slots": _disable_own_slots,
    "stale_load_rule": _treat_load_as_current,
    "quality": _ignore_server_quality,
    "fading": _disable_failure_decay,
    "domain_weight": _ignore_failure_domains,
    "refusal": _disable_admission_refusal,
    "memory_of_refusals": _ignore_earlier_refusals,
    "owners_for_requests": _disable_slot_requests,
    "other_pools": _disable_pool_forwarding,
    "reserve": _disable_batch_reserve,
    "room_for_requests": _disable_preemption,
    "yield_order": _preempt_in_run_id_order,
    "order_of_waiting": _queue_in_run_id_order,
    "spread": _pick_first_free_server,
    "shared_failures": _ignore_failures_on_other_hosts,
    "start_order": _start_items_in_due_order,
    "checks_of_silent_servers": _disable_silence_checks,
    "checks_beside": _disable_suspicion_checks,
    "relayed_state": _disable_state_relay,
    "relayed_store_calls": _disable_store_relay,
    "resumption": _restart_streams_from_beginning,
    "hand_over": _disable_hand_over,
}


def prepare(name, checkout):
    """
    Edit the deploy file of a checkout to start gateways without a mechanism.

    Raises UserError if the name or the command in the file is not found.
    """
    if name not in SWITCHES_BY_NAME:
        raise UserError(f"no mechanism {name!r}", step="ablation")
    path = pathlib.Path(checkout) / DEPLOY_FILE
    text = path.read_text()
    if text.count(GATEWAY_COMMAND) != 1:
        raise UserError(f"{path}: no command {GATEWAY_COMMAND!r}", step="ablation")
    path.write_text(text.replace(GATEWAY_COMMAND, ABLATED_COMMAND.format(name)))


def run(name, arguments):
    """Run galenascale with a mechanism switched off."""
    from galenascale.__main__ import main as galenascale

    SWITCHES_BY_NAME[name]()
    sys.argv = ["galenascale", *arguments]
    galenascale()


def main():
    """Run the subcommand given on the command line."""
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
