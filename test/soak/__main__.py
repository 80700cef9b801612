"""`python -m test.soak`: play seeds and print what broke."""

import argparse
import asyncio
import sys
import time
from pathlib import Path

from test.soak.fleet import ROOT
from test.soak.gateway_process import BREAK_VARIABLE, BREAKS_BY_NAME
from test.soak.play import Size, play


def main():
    """Play the seeds; exit with 1 if a promise broke."""
    parser = argparse.ArgumentParser(prog="python -m test.soak")
    parser.add_argument("--seed", type=int, help="first seed; the time if left out")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--together", type=int, default=1, help="plays at a time")
    parser.add_argument("--hosts", type=int, default=Size().hosts)
    parser.add_argument("--faults", type=int, default=Size().faults)
    parser.add_argument("--break", dest="broken", choices=sorted(BREAKS_BY_NAME))
    parser.add_argument(
        "--beside",
        metavar="CHECKOUT",
        type=Path,
        help="run every second host from another checkout, as in an upgrade",
    )
    arguments = parser.parse_args()
    first = int(time.time()) if arguments.seed is None else arguments.seed
    size = Size(hosts=arguments.hosts, faults=arguments.faults)
    environment = {BREAK_VARIABLE: arguments.broken} if arguments.broken else {}
    seeds = range(first, first + arguments.seeds)
    checkouts = (ROOT, arguments.beside) if arguments.beside else (ROOT,)
    options = (size, environment, checkouts)
    sys.exit(asyncio.run(_play_all(seeds, options, arguments.together)))


async def _play_all(seeds, options, together):
    limit = asyncio.Semaphore(together)

    async def play_one(seed):
        async with limit:
            result = await play(seed, *options)
        _print(result)
        return bool(result.broken)

    failed = sum(await asyncio.gather(*map(play_one, seeds)))
    print(f"{len(seeds)} seeds, {failed} with a broken promise")
    return min(failed, 1)


def _print(result):
    print(
        f"seed {result.seed}: {result.served} of {result.requests} requests served, "
        f"{result.jobs} jobs, {len(result.broken)} broken",
        flush=True,
    )
    if result.broken:
        print(f"  logs: {result.directory}")
        for fault in result.faults:
            print(f"  {fault}")
        for line in result.broken:
            print(f"  BROKEN {line}")


if __name__ == "__main__":
    main()
