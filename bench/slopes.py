"""Slopes of a host's costs over at least three sizes each.

Uses the real classes in memory or on loopback; docs/CAPACITY.md computes the
target size from bench/results/slopes.json, which this writes.

Run from the root of the repository: python -m bench.slopes
"""

import argparse
import asyncio
import contextlib
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import orjson

from bench import config, gossip, relay, slope_cases, slot_cases
from bench.timing import mean_us_async
from galenascale.clock import Clock
from galenascale.engine_client import EngineClient
from galenascale.generated.messages import BackendServerDeclaration

RESULTS = Path(__file__).resolve().parent / "results" / "slopes.json"
HOSTS_PER_DOMAIN = (3, 9, 38)
DOMAINS = 25
SERVERS_PER_DOMAIN = (5, 48, 480)
TENANTS = (10, 260, 2600)
ITEMS = (1_000, 9_000, 81_000)
JOBS = (25, 250, 2500)
STREAMS = (16, 64, 128)
POLLS = (50, 200, 800)
# Other work on a machine lengthens processor times, so the smallest counts.
RUNS = 3
LONG_CASES = ("gossip", "relay")


def measure_gossip(hosts):
    """Return the figures of gossip once all hosts know each other."""
    return gossip.measure(DOMAINS, hosts, warm_up=60, rounds=5, seed=1)


def measure_relay(streams):
    """Return the processor time per token of a host and a bare relay."""
    options = argparse.Namespace(
        streams=streams, tokens=100, interval_ms=20, rounds=2, goal=2.0
    )
    found = relay._run(options)
    return {
        "streams": streams,
        "bare_us_per_token": found["bare_us_per_token"],
        "host_us_per_token": found["host_us_per_token"],
    }


@contextlib.contextmanager
def started(*arguments, module="galenascale"):
    """Yield (process id, port) of a command that listens on loopback."""
    command = [sys.executable, "-m", module, *arguments]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    try:
        for line in process.stderr:
            if match := re.search(r"Listening on port (\d+)", line):
                yield process.pid, int(match[1])
                break
    finally:
        process.terminate()
        process.wait()
        process.stderr.close()


def write_settings(directory, **values):
    """Write a file of settings and return its path."""
    path = Path(directory) / "settings.json"
    path.write_bytes(orjson.dumps(values))
    return str(path)


def measure_load_polls(polls):
    """Return processor time and bytes of reading load reports one by one."""
    with tempfile.TemporaryDirectory() as directory:
        settings = write_settings(directory, server_id="e", models=["m@v"])
        with started("standin", "engine", "--settings", settings) as (_, port):
            return {"polls": polls, **asyncio.run(_poll(port, polls))}


async def _poll(port, polls):
    sizes = []
    proxy = await asyncio.start_server(
        lambda r, w: gossip._relay(r, w, port, sizes), "127.0.0.1", 0
    )
    proxy_port = proxy.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        client = EngineClient(session, Clock())
        direct, counted = (
            BackendServerDeclaration(name="e", url=f"http://127.0.0.1:{number}")
            for number in (port, proxy_port)
        )
        await client.load_report(direct)
        poll_us = await mean_us_async(lambda: client.load_report(direct), polls)
        await client.load_report(counted)
        before = sum(sizes)
        await client.load_report(counted)
    proxy.close()
    # The proxy's tasks end once they see that their connections are closed.
    await asyncio.sleep(0.1)
    return {"poll_us": poll_us, "bytes_per_poll": sum(sizes) - before}


def measure_memory():
    """Return the resident memory in KB of an idle host and a bare server."""
    bare = (
        "import sys\nfrom aiohttp import web, ClientSession\n"
        "async def start(app):\n    print('Listening on port 1', file=sys.stderr)\n"
        "app = web.Application()\napp.on_startup.append(start)\n"
        "web.run_app(app, host='127.0.0.1', port=0, print=None)\n"
    )
    with tempfile.TemporaryDirectory() as directory:
        (Path(directory) / "bare.py").write_text(bare)
        settings = write_settings(
            directory,
            host_id="h",
            failure_domain="d",
            platform_url="http://127.0.0.1:1",
            peer_secret="0" * 16,
        )
        with started("serve", "--settings", settings) as (pid, _):
            host_kb = resident_kb(pid)
        process = subprocess.Popen(
            [sys.executable, f"{directory}/bare.py"], stderr=subprocess.PIPE, text=True
        )
        try:
            process.stderr.readline()
            return {"host_kb": host_kb, "bare_aiohttp_kb": resident_kb(process.pid)}
        finally:
            process.terminate()
            process.wait()
            process.stderr.close()


def resident_kb(pid):
    """Return the resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1])


def smallest(rows):
    """Return the smallest figures of several runs of one size."""
    return {name: min(row[name] for row in rows) for name in rows[0]}


CASES = {
    "gossip": (measure_gossip, HOSTS_PER_DOMAIN),
    "routing": (slope_cases.routing, SERVERS_PER_DOMAIN),
    "slot_pass": (slot_cases.slot_pass, SERVERS_PER_DOMAIN),
    "load_polls": (measure_load_polls, POLLS),
    "tenants": (slope_cases.tenants, TENANTS),
    "configuration": (config.measure, TENANTS),
    "one_job": (slope_cases.one_job, ITEMS),
    "many_jobs": (slope_cases.many_jobs, JOBS),
    "relay": (measure_relay, STREAMS),
}


def main():
    """Measure the named cases, or all of them, and write the results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("cases", nargs="*", default=[], help=", ".join(CASES))
    names = parser.parse_args().cases
    results = {}
    for name in names or CASES:
        function, sizes = CASES[name]
        begun = time.monotonic()
        runs = 1 if name in LONG_CASES else RUNS
        results[name] = [
            smallest([function(size) for _ in range(runs)]) for size in sizes
        ]
        print(f"{name}: {time.monotonic() - begun:.1f} s", file=sys.stderr)
    if not names:
        results["memory"] = measure_memory()
        RESULTS.write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2) + b"\n")
    print(orjson.dumps(results, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
