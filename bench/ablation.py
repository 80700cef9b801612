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
from galenascale.gateway import admission, balancing, health, reachability, relay
from galenascale.gateway.jobs import item_runs, pacing, scheduler, store_access
from galenascale.gateway.jobs.runner import JobRunner
from galenascale.gateway.slot_shares import SlotShares
from galenascale.gateway.stopping import GracefulStop

DEPLOY_FILE = "deploy/system.toml"
COMMAND = "python3 -m galenascale "
NEVER_S = 1e9


def _without_own_slots():
    SlotShares.of = lambda shares, server: 0


def _without_stale_load_rule():
    SlotShares.is_load_stale = False


def _without_quality():
    health.ServerHealth.quality = lambda servers, incarnation, now: 1.0


def _without_fading():
    health.RECOVERY_S = NEVER_S


def _without_domain_weight():
    balancing.OWN_DOMAIN_WEIGHT = 1.0
    balancing.RETRY_DOMAIN_WEIGHT = 1.0


def _without_refusal():
    admission.Admission.retry_after_s = lambda *args: None


def _without_memory_of_refusals():
    admission.Refusals.take = lambda refusals, key, now: False


def _without_reserve():
    pacing.RESERVED_SLOTS = 0


def _without_interrupts():
    scheduler.plan_interrupts = lambda load, host_id: 0


def _without_settling():
    scheduler.SETTLE_S = 0.0
    scheduler.INTERRUPT_SETTLE_S = 0.0


def _without_start_order():
    scheduler.start_order = lambda item, now_ms, estimate: item.due_at_ms


def _without_interrupt_order():
    scheduler.interrupt_order = lambda item, now_ms, estimate: item.key


def _without_checks_of_silent_servers():
    reachability.SILENCE_S = NEVER_S


def _without_checks_beside():
    reachability.Reachability.suspect = lambda checks, server: None


def _without_relayed_state():
    async def run(_):
        return

    relay.StateRelay.run = run


def _without_relayed_store_calls():
    store_access.StoreAccess._relay_peer = lambda access: None


def _without_resumption():
    read = item_runs.run_item

    async def run_from_start(parts, dispatcher, item, *args):
        item.texts = []
        item.last_event_id = None
        return await read(parts, dispatcher, item, *args)

    sys.modules[JobRunner.__module__].run_item = run_from_start


def _without_hand_over():
    async def hand_over(stop):
        stop.runner.stopping = True
        stop.presence.leave()

    GracefulStop._hand_over = hand_over


SWITCHES_BY_NAME = {
    "own_slots": _without_own_slots,
    "stale_load_rule": _without_stale_load_rule,
    "quality": _without_quality,
    "fading": _without_fading,
    "domain_weight": _without_domain_weight,
    "refusal": _without_refusal,
    "memory_of_refusals": _without_memory_of_refusals,
    "reserve": _without_reserve,
    "interrupts": _without_interrupts,
    "settling": _without_settling,
    "start_order": _without_start_order,
    "interrupt_order": _without_interrupt_order,
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
