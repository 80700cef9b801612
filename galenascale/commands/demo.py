"""`galenascale demo`: start an example deployment and use it."""

import asyncio
import collections
import sys
import time
import uuid

import aiohttp
import attrs
import orjson

from galenascale.commands.dev import DEFAULT_DEPLOYMENT
from galenascale.embedded import EmbeddedDeployment
from galenascale.errors import UserError
from galenascale.logs import setup_logging

ITEMS_FILE = "batch-items.jsonl"
ONLINE_REQUESTS = 20
ONLINE_PAUSE_S = 0.1
MAX_TOKENS = 24
JOB_POLL_S = 0.1
JOB_TIMEOUT_S = 120.0
QUESTION = [{"role": "user", "content": "Is the booking for tomorrow confirmed?"}]


@attrs.define
class Report:
    """Measurements of the demo; times in seconds."""

    first_token_s: list = attrs.field(factory=list)
    batch_s: float = 0.0
    items: int = 0
    lines_by_id: collections.Counter = attrs.field(factory=collections.Counter)

    def percentile(self, fraction):
        """Return a percentile of the times to first token, in seconds."""
        ordered = sorted(self.first_token_s)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def demo(*, deployment: str = DEFAULT_DEPLOYMENT, log_level: str = "error"):
    """
    Start a deployment in this process, send requests and a batch job to it.

    Exits with 0 only if every item of the job has exactly one result.

    Parameters
    ----------
    deployment
        Deployment directory; also searched next to the package.
    log_level
        Lowest level of the log lines on stderr.
    """
    setup_logging(log_level)
    try:
        import openai
        import tqdm
    except ImportError as error:
        raise UserError("demo needs the packages openai and tqdm") from error
    sys.exit(asyncio.run(_demo(openai, tqdm.tqdm, deployment)))


async def _demo(openai, tqdm, path):
    async with EmbeddedDeployment.from_directory(path) as embedded:
        summary = embedded.summary()
        deployment = embedded.deployment
        clients = [
            openai.AsyncOpenAI(base_url=f"{host.url}/v1", api_key=summary.caller_key)
            for host in summary.entry_hosts
        ]
        print(f"{len(clients)} entry hosts, {len(summary.backend_servers)} servers.")
        items = deployment.path / ITEMS_FILE
        model = orjson.loads(items.read_bytes().split(b"\n", 1)[0])["body"]["model"]
        report = Report()
        await _send_chat_requests(clients[0], model)
        await _call_service(deployment, summary)
        online = asyncio.create_task(_send_online_requests(clients, model, report))
        await _run_batch_job(clients, items, report, tqdm)
        await online
        return _print_report(report)


async def _send_chat_requests(client, model):
    stream = await client.chat.completions.create(
        model=model, messages=QUESTION, max_tokens=MAX_TOKENS, stream=True
    )
    print("Streamed answer: ", end="")
    async for chunk in stream:
        if chunk.choices:
            print(chunk.choices[0].delta.content or "", end="")
    print()
    answer = await client.chat.completions.create(
        model=model, messages=QUESTION, max_tokens=MAX_TOKENS
    )
    print(f"Plain answer: {answer.choices[0].message.content}")


async def _call_service(deployment, summary):
    """Call a plain service twice with one idempotency key; it runs once."""
    service = _find_plain_service(deployment)
    if service is None:
        return
    name, path = service["name"], service["non_idempotent_paths"][0].strip("/")
    headers = {
        "Authorization": f"Bearer {summary.caller_key}",
        "Idempotency-Key": uuid.uuid4().hex,
    }
    answers = []
    async with aiohttp.ClientSession(headers=headers) as session:
        for host in (summary.entry_hosts[0], summary.entry_hosts[-1]):
            url = f"{host.url}/services/{name}/{path}"
            async with session.post(url, json={"crew": 1}) as response:
                answers.append(await response.text())
    print(f"Answer of {name}, sent twice: {answers[0]}")
    if len(set(answers)) != 1:
        raise UserError("the two answers under one key differ")


def _find_plain_service(deployment):
    return next(
        (
            item
            for item in deployment.declarations
            if item["kind"] == "service" and item.get("non_idempotent_paths")
        ),
        None,
    )


async def _send_online_requests(clients, model, report):
    for number in range(ONLINE_REQUESTS):
        started = time.perf_counter()
        stream = await clients[number % len(clients)].chat.completions.create(
            model=model, messages=QUESTION, max_tokens=MAX_TOKENS, stream=True
        )
        first = None
        async for _ in stream:
            first = first or time.perf_counter() - started
        report.first_token_s.append(first)
        await asyncio.sleep(ONLINE_PAUSE_S)


async def _run_batch_job(clients, items, report, tqdm):
    started = time.perf_counter()
    client = clients[0]
    uploaded = await client.files.create(
        file=(items.name, items.read_bytes()), purpose="batch"
    )
    job = await client.batches.create(
        input_file_id=uploaded.id,
        endpoint="/v1/chat/completions",
        completion_window="24h",
    )
    report.items = job.request_counts.total
    job = await _wait_for_job(clients[-1], job, report.items, tqdm)
    report.batch_s = time.perf_counter() - started
    for file_id in (job.output_file_id, job.error_file_id):
        if file_id is None:
            continue
        # Any entry host can read the results from the log.
        content = await clients[len(clients) // 2].files.content(file_id)
        for line in content.text.splitlines():
            report.lines_by_id[orjson.loads(line)["custom_id"]] += 1


async def _wait_for_job(client, job, items, tqdm):
    deadline = time.perf_counter() + JOB_TIMEOUT_S
    with tqdm(total=items, unit="item") as progress:
        while time.perf_counter() < deadline:
            job = await client.batches.retrieve(job.id)
            counts = job.request_counts
            progress.update(counts.completed + counts.failed - progress.n)
            if job.status != "in_progress":
                return job
            await asyncio.sleep(JOB_POLL_S)
    raise UserError(f"job {job.id} did not end in {JOB_TIMEOUT_S:.0f} s")


def _print_report(report):
    single_results = sum(count == 1 for count in report.lines_by_id.values())
    print(f"Items with exactly one result: {single_results} of {report.items}.")
    print(f"Batch: {report.items / report.batch_s:.1f} items/s.")
    print(
        "Online time to first token: "
        f"p50 {report.percentile(0.5) * 1000:.1f} ms, "
        f"p95 {report.percentile(0.95) * 1000:.1f} ms."
    )
    return 0 if single_results == report.items == len(report.lines_by_id) else 1
