"""`python -m test.soak`: run seeds and print violated guarantees."""

import argparse
import asyncio
import sys
import time
from pathlib import Path

from test.soak.fleet import ROOT
from test.soak.gateway_process import DEFECT_VARIABLE, DEFECTS_BY_NAME
from test.soak.scenario import ScenarioSize, run_scenario


def main():
    """Run the seeds; exit with 1 if any guarantee was violated."""
    parser = argparse.ArgumentParser(prog="python -m test.soak")
    parser.add_argument("--seed", type=int, help="first seed; the time if left out")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--together", type=int, default=1, help="plays at a time")
    parser.add_argument("--hosts", type=int, default=ScenarioSize().hosts)
    parser.add_argument("--faults", type=int, default=ScenarioSize().faults)
    parser.add_argument("--break", dest="defect", choices=sorted(DEFECTS_BY_NAME))
    parser.add_argument(
        "--beside",
        metavar="CHECKOUT",
        type=Path,
        help="run every second host from another checkout, as in an upgrade",
    )
    parser.add_argument(
        "--upgrade-from",
        metavar="CHECKOUT",
        type=Path,
        help="start all hosts from another checkout and replace them in turn",
    )
    arguments = parser.parse_args()
    first_seed = int(time.time()) if arguments.seed is None else arguments.seed
    size = ScenarioSize(hosts=arguments.hosts, faults=arguments.faults)
    environment = {DEFECT_VARIABLE: arguments.defect} if arguments.defect else {}
    seeds = range(first_seed, first_seed + arguments.seeds)
    checkouts = (ROOT, arguments.beside) if arguments.beside else (ROOT,)
    if arguments.upgrade_from:
        checkouts = (arguments.upgrade_from,)
    options = (size, environment, checkouts, arguments.upgrade_from is not None)
    sys.exit(asyncio.run(_run_scenarios(seeds, options, arguments.together)))


async def _run_scenarios(seeds, options, concurrency):
    limit = asyncio.Semaphore(concurrency)

    async def run_one(seed):
        async with limit:
            result = await run_scenario(seed, *options)
        _print_result(result)
        return bool(result.violations)

    failed = sum(await asyncio.gather(*map(run_one, seeds)))
    print(f"{len(seeds)} seeds, {failed} with a broken promise")
    return min(failed, 1)


def _print_result(result):
    print(
        f"seed {result.seed}: {result.served} of {result.requests} requests served, "
        f"{result.jobs} jobs, {len(result.violations)} broken",
        flush=True,
    )
    if result.violations:
        print(f"  logs: {result.directory}")
        for fault in result.faults:
            print(f"  {fault}")
        for line in result.violations:
            print(f"  BROKEN {line}")


if __name__ == "__main__":
    main()
