"""Short real run of both example deployments over loopback.

Measures online requests alone and then with a batch job, the use of the batch
slots, the time until they are filled and the appends per batch item.
"""

import argparse
import asyncio
import json
import random
import statistics
import sys
import time
from pathlib import Path

import aiohttp
import attrs
import orjson

from galenascale.deployments import EXAMPLES
from galenascale.embedded import EmbeddedDeployment

RESULTS = Path(__file__).parent / "results"
SAMPLE_S = 0.02
BURST_EVERY_S = 1.0
BURST_REQUESTS = 6
# Steady requests between the bursts.
REQUESTS_PER_S = 4.0
MAX_TOKENS = 24
JOB_TIMEOUT_S = 90.0
RUN_TIMEOUT_S = 240.0
# Share of the slots from which on idle capacity counts as filled.
FILLED_SHARE = 0.95


@attrs.define
class Slots:
    """Samples of (time, used batch slots, allowed batch slots)."""

    samples: list = attrs.field(factory=list)

    def used_share(self, start, end):
        """Return the used part of the allowed slots between two times."""
        inside = [item for item in self.samples if start <= item[0] <= end]
        allowed = sum(item[2] for item in inside)
        return sum(item[1] for item in inside) / allowed if allowed else 0.0

    def fill_s(self, since):
        """Return the time until the slots were filled, None if never."""
        return next(
            (
                at - since
                for at, used, allowed in self.samples
                if at >= since and allowed and used >= FILLED_SHARE * allowed
            ),
            None,
        )


class Run:
    """One running deployment and its callers."""

    def __init__(self, embedded, name, session):
        self._embedded = embedded
        self._session = session
        self._urls = [host.url for host in embedded.summary().entry_hosts]
        lines = (EXAMPLES / name / "batch-items.jsonl").read_text().splitlines()
        self._items = [json.loads(line) for line in lines]
        self._model = self._items[0]["body"]["model"]
        services = [server.service for server in embedded.summary().backend_servers]
        self._service = services[0]

    async def online(self, seconds, seed=1):
        """Return the sorted times to first token in milliseconds."""
        rng = random.Random(seed)
        arrivals = [i * BURST_EVERY_S for i in range(int(seconds / BURST_EVERY_S))]
        arrivals = [at + 0.5 for at in arrivals for _ in range(BURST_REQUESTS)]
        at = rng.expovariate(REQUESTS_PER_S)
        while at < seconds:
            arrivals.append(at)
            at += rng.expovariate(REQUESTS_PER_S)
        times = await asyncio.gather(*(self._request(at, rng) for at in arrivals))
        return sorted(times)

    async def _request(self, after_s, rng):
        url = rng.choice(self._urls)
        words = " ".join(f"w{rng.randrange(1000)}" for _ in range(60))
        body = {
            "model": self._model,
            "stream": True,
            "max_tokens": MAX_TOKENS,
            "messages": [{"role": "user", "content": words}],
        }
        await asyncio.sleep(after_s)
        started = time.perf_counter()
        async with self._session.post(
            url + "/v1/chat/completions", json=body
        ) as response:
            response.raise_for_status()
            first = None
            async for _ in response.content:
                first = first or time.perf_counter() - started
        return first * 1000

    async def batch(self, count):
        """Run a job of `count` items; return (start, end) times."""
        lines = []
        for number in range(count):
            item = self._items[number % len(self._items)]
            lines.append(orjson.dumps({**item, "custom_id": f"item-{number}"}))
        form = aiohttp.FormData()
        form.add_field("purpose", "batch")
        form.add_field("file", b"\n".join(lines), filename="items.jsonl")
        url = self._urls[0]
        async with self._session.post(url + "/v1/files", data=form) as response:
            response.raise_for_status()
            file_id = (await response.json())["id"]
        job = {
            "input_file_id": file_id,
            "endpoint": self._items[0]["url"],
            "completion_window": "24h",
        }
        async with self._session.post(url + "/v1/batches", json=job) as response:
            response.raise_for_status()
            job_id = (await response.json())["id"]
        started = time.perf_counter()
        async with asyncio.timeout(JOB_TIMEOUT_S):
            while True:
                async with self._session.get(f"{url}/v1/batches/{job_id}") as response:
                    job = await response.json()
                if job["status"] != "in_progress":
                    break
                await asyncio.sleep(0.1)
        if job["request_counts"]["completed"] != count:
            raise RuntimeError(f"job ended with {job['request_counts']}")
        return started, time.perf_counter()

    async def sample(self, slots):
        """Add samples until cancelled."""
        while True:
            capacities = [host.capacity for host in self._embedded.hosts_by_id.values()]
            slots.samples.append(
                (
                    time.perf_counter(),
                    sum(item.running(self._service) for item in capacities),
                    sum(item.slots(self._service) for item in capacities),
                )
            )
            await asyncio.sleep(SAMPLE_S)

    def appends(self):
        """Return the appends of all hosts to shard streams."""
        hosts = self._embedded.hosts_by_id.values()
        return sum(host.shards.appends() for host in hosts)


def _percentiles(times):
    cuts = statistics.quantiles(times, n=100, method="inclusive")
    return {f"p{share}_ms": round(cuts[share - 1], 1) for share in (50, 95, 99)}


async def _job(run, items):
    """Return the figures of one job and its (start, end) times."""
    slots, appends = Slots(), run.appends()
    sampler = asyncio.create_task(run.sample(slots))
    try:
        start, end = await run.batch(items)
    finally:
        sampler.cancel()
    fill_s = slots.fill_s(start)
    return {
        "items": items,
        "items_per_s": round(items / (end - start), 1),
        "slots_used_share": round(slots.used_share(start, end), 3),
        "fill_s": None if fill_s is None else round(fill_s, 3),
        "appends_per_item": round((run.appends() - appends) / items, 4),
    }


async def measure(name, seconds, items):
    """Return the result of one deployment."""
    async with EmbeddedDeployment.from_directory(EXAMPLES / name) as embedded:
        key = embedded.summary().caller_key
        headers = {"Authorization": f"Bearer {key}"}
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            asyncio.timeout(RUN_TIMEOUT_S),
            aiohttp.ClientSession(headers=headers, connector=connector) as session,
        ):
            run = Run(embedded, name, session)
            await run.online(1.0)
            await asyncio.sleep(1.0)
            alone = await run.online(seconds)
            await asyncio.sleep(1.0)
            batch_alone = await _job(run, items)
            await asyncio.sleep(1.0)
            job, together = await asyncio.gather(_job(run, items), run.online(seconds))
    online = {"alone": _percentiles(alone), "with_batch": _percentiles(together)}
    ratio = online["with_batch"]["p95_ms"] / online["alone"]["p95_ms"]
    return {
        "deployment": name,
        "online_requests": len(alone),
        "online_first_token": online,
        "p95_ratio": round(ratio, 3),
        "batch_alone": batch_alone,
        "batch_with_online": job,
    }


def main():
    """Measure both deployments and write bench/results/loopback.json."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--items", type=int, default=500)
    parser.add_argument("--deployments", nargs="*", default=["mutara", "asociacion"])
    options = parser.parse_args()
    results = [
        asyncio.run(measure(name, options.seconds, options.items))
        for name in options.deployments
    ]
    text = json.dumps(results, indent=2)
    print(text)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "loopback.json").write_text(text + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
