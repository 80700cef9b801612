"""Rolling restart of all entry hosts under load, printed as JSON.

Every host of an embedded deployment is stopped gracefully and replaced, one
after the other, while streams run on all of them and a batch job is open.

Run from the root of the repository: python -m bench.rolling
"""

import argparse
import asyncio
import itertools
import sys
import time

import aiohttp
import attrs
import orjson

from galenascale.deployments import EXAMPLES, Deployment
from galenascale.embedded import EmbeddedDeployment
from galenascale.logs import setup_logging

READY_POLL_S = 0.05
JOB_POLL_S = 0.2
JOB_TIMEOUT_S = 120.0
MAX_TOKENS = 40
MODEL = "assist"
QUESTION = [{"role": "user", "content": "Is the booking for tomorrow confirmed?"}]


@attrs.define
class Report:
    """What the load saw; a cut request got part of an answer or a reset."""

    hosts: int = 0
    restarts: int = 0
    streams: int = 0
    cut: int = 0
    # Requests that a host refused as not run; the next host took them.
    turned_away: int = 0
    items: int = 0
    items_with_one_result: int = 0
    job_status: str = ""
    restart_s: list = attrs.field(factory=list)
    faults: list = attrs.field(factory=list)


class Balancer:
    """Sends requests to ready hosts in turn, as a load balancer does."""

    def __init__(self, session, urls, report):
        self._session = session
        self._urls = urls
        self._ready = set(urls)
        self._turns = itertools.cycle(urls)
        self._report = report

    async def run(self):
        """Ask all hosts for their readiness until cancelled."""
        while True:
            await asyncio.gather(*(self._check(url) for url in self._urls))
            await asyncio.sleep(READY_POLL_S)

    async def _check(self, url):
        try:
            async with self._session.get(url + "/readyz") as response:
                ready = response.status == 200
        except aiohttp.ClientError:
            ready = False
        (self._ready.add if ready else self._ready.discard)(url)

    async def send(self, method, path, read, **arguments):
        """Return `await read(response)` of the first host that takes it."""
        while True:
            url = next(url for url in self._turns if url in self._ready)
            try:
                async with self._session.request(
                    method, url + path, **arguments
                ) as response:
                    if response.status == 200:
                        return await read(response)
                    error = orjson.loads(await response.read())["error"]
                    if error["execution"] != "not_run":
                        raise ValueError(f"{path}: {error['message']}")
            except aiohttp.ClientConnectorError:
                self._ready.discard(url)
            self._report.turned_away += 1
            await asyncio.sleep(READY_POLL_S)


async def read_stream(response):
    """Return the number of events; raise ValueError for a cut stream."""
    content = await response.read()
    if not content.endswith(b"data: [DONE]\n\n"):
        raise ValueError(f"stream ended with {content[-80:]!r}")
    return content.count(b"data: ")


async def keep_streaming(balancer, report, done):
    """Send one stream after the other until `done` is set."""
    body = {"model": MODEL, "messages": QUESTION, "stream": True}
    body["max_tokens"] = MAX_TOKENS
    while not done.is_set():
        report.streams += 1
        try:
            events = await balancer.send(
                "POST", "/v1/chat/completions", read_stream, json=body
            )
            if events != MAX_TOKENS + 1:
                raise ValueError(f"stream had {events} events")
        except (aiohttp.ClientError, ValueError) as error:
            report.cut += 1
            report.faults.append(repr(error))


async def submit_job(balancer, items):
    """Upload items and return the id of their job."""
    form = aiohttp.FormData({"purpose": "batch"})
    form.add_field("file", b"\n".join(items), filename="items.jsonl")
    file = await balancer.send("POST", "/v1/files", _read_json, data=form)
    body = {"input_file_id": file["id"], "endpoint": "/v1/chat/completions"}
    body["completion_window"] = "24h"
    job = await balancer.send("POST", "/v1/batches", _read_json, json=body)
    return job["id"]


async def _read_json(response):
    return orjson.loads(await response.read())


async def _read_lines(response):
    return (await response.read()).splitlines()


async def finish_job(balancer, job_id, report):
    """Wait for a job and count the items that have exactly one result."""
    deadline = time.monotonic() + JOB_TIMEOUT_S
    job = {"status": "in_progress"}
    while job["status"] == "in_progress" and time.monotonic() < deadline:
        job = await balancer.send("GET", f"/v1/batches/{job_id}", _read_json)
        await asyncio.sleep(JOB_POLL_S)
    report.job_status = job["status"]
    ids = []
    for name in ("output_file_id", "error_file_id"):
        if job.get(name):
            path = f"/v1/files/{job[name]}/content"
            lines = await balancer.send("GET", path, _read_lines)
            ids += [orjson.loads(line)["custom_id"] for line in lines]
    report.items_with_one_result = sum(ids.count(item) == 1 for item in set(ids))


def make_items(count):
    """Return lines of a batch file with distinct contents."""
    return [
        orjson.dumps(
            {
                "custom_id": f"item-{number}",
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": {
                    "model": MODEL,
                    "max_tokens": MAX_TOKENS,
                    "messages": [{"role": "user", "content": f"Quote {number}"}],
                },
            }
        )
        for number in range(count)
    ]


async def measure(deployment, streams, items):
    """Return the Report of one rolling restart of a deployment."""
    report = Report(hosts=len(deployment.settings.hosts), items=items)
    done = asyncio.Event()
    async with (
        EmbeddedDeployment(deployment) as embedded,
        aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {deployment.settings.caller_key}"}
        ) as session,
        asyncio.TaskGroup() as group,
    ):
        urls = [host.url for host in embedded.summary().entry_hosts]
        balancer = Balancer(session, urls, report)
        checks = group.create_task(balancer.run())
        load = [
            group.create_task(keep_streaming(balancer, report, done))
            for _ in range(streams)
        ]
        job_id = await submit_job(balancer, make_items(items))
        for host_id in list(embedded.hosts_by_id):
            started = time.monotonic()
            await embedded.restart(host_id)
            report.restart_s.append(round(time.monotonic() - started, 2))
            report.restarts += 1
        done.set()
        await asyncio.gather(*load)
        await finish_job(balancer, job_id, report)
        checks.cancel()
    return report


def main():
    """Print the Report of a rolling restart of the hosts of mutara."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--streams", type=int, default=18)
    parser.add_argument("--items", type=int, default=400)
    parser.add_argument("--log-level", default="critical")
    arguments = parser.parse_args()
    setup_logging(arguments.log_level)
    deployment = Deployment.from_directory(EXAMPLES / "mutara")
    report = asyncio.run(measure(deployment, arguments.streams, arguments.items))
    value = attrs.asdict(report)
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode(), file=sys.stdout)


if __name__ == "__main__":
    main()
