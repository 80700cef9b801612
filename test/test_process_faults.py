"""Separate processes that are killed, frozen and cut off during jobs."""

import asyncio
import contextlib
import json
import signal
import uuid

import aiohttp
import attrs
import pytest

from galenascale.clock import Clock
from galenascale.config_follower import ConfigFollower
from galenascale.generated.messages import ConfigEntry
from galenascale.key_table import key_digest
from galenascale.log_client import LogClient
from galenascale.platform.store import StoreClient
from test.processes import running, write_json
from test.test_processes import wait_ready

KEY = "tenant-key"
DOMAINS = ("kigali-a", "kigali-b", "kigali-c")
LEASE_MS = 1500
TIMEOUT_S = 60
MODEL_URL = "/v1/chat/completions"
PLAIN_URL = "/services/booking-app/invoices"


@attrs.define
class Fleet:
    """Processes of a small deployment and a session to them."""

    platform: object
    servers: list
    hosts: list
    session: aiohttp.ClientSession

    def url(self, process):
        """Return the URL of a process."""
        return f"http://127.0.0.1:{process.port}"

    async def call(self, process, method, path, **kwargs):
        """Return the JSON answer of a host that is up."""
        async with self.session.request(
            method, self.url(process) + path, **kwargs
        ) as response:
            assert response.status < 300, await response.text()
            return await response.json(content_type=None)

    async def fault(self, process, **faults):
        """Set the faults of a stand-in."""
        async with self.session.put(self.url(process) + "/faults", json=faults):
            pass

    async def submit(self, host, lines, endpoint):
        """Upload the lines and return the id of a job for them."""
        form = aiohttp.FormData({"purpose": "batch"})
        form.add_field("file", "\n".join(lines), filename="items.jsonl")
        file = await self.call(host, "POST", "/v1/files", data=form)
        body = {
            "input_file_id": file["id"],
            "endpoint": endpoint,
            "completion_window": "1h",
        }
        headers = {"Idempotency-Key": uuid.uuid4().hex}
        job = await self.call(host, "POST", "/v1/batches", json=body, headers=headers)
        return job["id"]

    async def ended(self, host, job_id):
        """Return the job once it has ended."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                job = await self.call(host, "GET", f"/v1/batches/{job_id}")
                if job["status"] != "in_progress":
                    return job
                await asyncio.sleep(0.2)

    async def some_done(self, host, job_id, count):
        """Return once a number of items has an outcome."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                job = await self.call(host, "GET", f"/v1/batches/{job_id}")
                counts = job["request_counts"]
                if counts["completed"] + counts["failed"] >= count:
                    return
                await asyncio.sleep(0.05)

    async def lines(self, host, job):
        """Return all result lines of an ended job."""
        result = []
        for file_id in filter(None, (job["output_file_id"], job["error_file_id"])):
            url = f"{self.url(host)}/v1/files/{file_id}/content"
            async with self.session.get(url) as response:
                assert response.status == 200
                text = await response.text()
            result += [json.loads(line) for line in text.splitlines()]
        return result


def declarations(servers):
    """Return the configuration entries for the running servers."""
    values = [
        {"kind": "service", "name": "assist-llm"},
        {
            "kind": "service",
            "name": "booking-app",
            "type": "plain",
            "non_idempotent_paths": ["/invoices"],
            "batch_reserve": 0,
        },
        {"kind": "model", "name": "assist", "service_name": "assist-llm"},
        {"kind": "tenant", "name": "team-a", "key_digests": [key_digest(KEY)]},
    ]
    values += [
        {
            "kind": "backend_server",
            "name": f"server-{number}",
            "service_name": "assist-llm" if number < 3 else "booking-app",
            "failure_domain": DOMAINS[number % 3],
            "url": f"http://127.0.0.1:{process.port}",
        }
        for number, process in enumerate(servers)
    ]
    return [
        ConfigEntry(value["kind"], value["name"], json.dumps(value)) for value in values
    ]


def host_settings(number, platform):
    """Return the settings of one host with short leases."""
    return {
        "host_id": f"host-{number}",
        "failure_domain": DOMAINS[number],
        "platform_url": f"http://127.0.0.1:{platform.port}",
        "peer_secret": "0123456789abcdef",
        "batch": {"lease_ms": LEASE_MS, "lease_margin_ms": 300, "chunk_items": 8},
        "membership": {"dead_after_s": 1.0},
    }


@contextlib.asynccontextmanager
async def fleet(tmp_path):
    """Run a platform, three engines, three plain servers and three hosts."""
    with contextlib.ExitStack() as stack:

        def start(name, settings, *command):
            path = write_json(tmp_path / f"{name}.json", settings)
            return stack.enter_context(running(*command, "--settings", path))

        platform = start("platform", {"host_list_lag_s": 0.2}, "standin", "platform")
        servers = []
        for number in range(6):
            kind = "engine" if number < 3 else "plain"
            settings = {"server_id": f"server-{number}", "kind": kind}
            servers.append(start(f"server{number}", settings, "standin", kind))
        hosts = [
            start(f"host{number}", host_settings(number, platform), "serve")
            for number in range(3)
        ]
        headers = {"Authorization": f"Bearer {KEY}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            client = LogClient(
                StoreClient(f"http://127.0.0.1:{platform.port}", session)
            )
            await ConfigFollower(client, Clock()).publish(declarations(servers), -1)
            result = Fleet(platform, servers, hosts, session)
            for host in hosts:
                await wait_ready(session, result.url(host))
            yield result


def batch_lines(count, url):
    """Return lines of a batch file."""
    body = {"crew": 1}
    if url == MODEL_URL:
        message = {"role": "user", "content": "quote"}
        body = {"model": "assist", "max_tokens": 30, "messages": [message]}
    return [
        json.dumps(
            {
                "custom_id": f"item-{number}",
                "method": "POST",
                "url": url,
                "body": body | {"seed": number},
            }
        )
        for number in range(count)
    ]


async def kill_host(fleet):
    """Lose a host without warning."""
    fleet.hosts[1].kill()


async def freeze_host(fleet):
    """Pause a host for longer than its leases."""
    fleet.hosts[1].send_signal(signal.SIGSTOP)
    await asyncio.sleep(LEASE_MS / 1000 + 1.0)
    fleet.hosts[1].send_signal(signal.SIGCONT)


async def stop_log(fleet):
    """Take the log away for a while."""
    await fleet.fault(fleet.platform, append="down", read="down")
    await asyncio.sleep(1.0)
    await fleet.fault(fleet.platform)


async def lose_answers(fleet):
    """Let appends take effect without an answer."""
    await fleet.fault(fleet.platform, append="lost_answer")
    await asyncio.sleep(1.0)
    await fleet.fault(fleet.platform)


async def cut_domain(fleet):
    """Cut a failure domain off from the platform."""
    await fleet.fault(fleet.platform, partition=[DOMAINS[1]])
    await asyncio.sleep(LEASE_MS / 1000 + 1.0)
    await fleet.fault(fleet.platform)


async def kill_server(fleet):
    """Lose an engine and a plain server with items in flight."""
    fleet.servers[1].kill()
    fleet.servers[4].kill()


async def run_counts(fleet):
    """Return how often the plain servers ran each content."""
    counts = {}
    for process in fleet.servers[3:]:
        if process.poll() is None:
            answer = await fleet.call(process, "GET", "/runs")
            for content, count in answer["by_content"].items():
                counts[content] = counts.get(content, 0) + count
    return counts


@pytest.mark.parametrize(
    "faults",
    [
        (kill_host, lose_answers),
        (freeze_host, stop_log),
        (cut_domain, kill_server),
    ],
    ids=lambda faults: "-".join(fault.__name__ for fault in faults),
)
async def test_each_item_has_one_result_under_faults(tmp_path, faults):
    """Guards P1, P5 and P6 over real processes while faults happen."""
    async with fleet(tmp_path) as running_fleet:
        host = running_fleet.hosts[0]
        jobs = {
            url: await running_fleet.submit(host, batch_lines(count, url), url)
            for url, count in ((MODEL_URL, 120), (PLAIN_URL, 60))
        }
        await running_fleet.some_done(host, jobs[MODEL_URL], 5)
        for fault in faults:
            await fault(running_fleet)
        for url, job_id in jobs.items():
            job = await running_fleet.ended(host, job_id)
            lines = await running_fleet.lines(host, job)
            ids = sorted(line["custom_id"] for line in lines)
            total = job["request_counts"]["total"]
            assert ids == sorted(f"item-{number}" for number in range(total))
            if url == MODEL_URL:
                assert all(line["error"] is None for line in lines)
        runs = await run_counts(running_fleet)
        assert runs and max(runs.values()) == 1
