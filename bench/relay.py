"""
Processor time per relayed token of an entry host against a bare relay.

One run measures both relays with the same token source and the same load, in
rounds in which both relays work at the same time, so that other load on the
machine affects both; the ratio is the median over the rounds. Source, each
relay and the load are separate processes; a relay reports its own processor
time (resource usage), so that the time of the others does not count. Prints
JSON; exits with 1 above the goal.
"""

import argparse
import asyncio
import json
import random
import resource
import statistics
import subprocess
import sys
import types

import aiohttp
import orjson
from aiohttp import web

from galenascale.clock import Clock
from galenascale.configuration import Configuration
from galenascale.engine_client import EngineClient
from galenascale.generated import messages
from galenascale.http_api import ApiContext, make_app, start_listener
from galenascale.key_table import key_digest
from galenascale.metrics import Metrics
from galenascale.online import OnlineService
from galenascale.tenants import Tenants

KEY = "key-of-the-relay-bench"
START_TIMEOUT_S = 20
RUN_TIMEOUT_S = 120
MODEL = "bench"
PATH = "/v1/chat/completions"


def _chunk_event(index, finish_reason=None):
    """Return one event in the shape of an engine's chunk."""
    delta = {"content": f"word{index} "}
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    value = {
        "id": "chatcmpl-0123456789abcdef0123456789abcdef",
        "object": "chat.completion.chunk",
        "created": 1700000000,
        "model": MODEL,
        "token_index": index,
        "choices": [choice],
    }
    return b"data: " + orjson.dumps(value) + b"\n\n"


async def _ignore(*_):
    """Do nothing, in place of what a host tells its peers."""


async def _source(request):
    """Stream tokens, each in a write of its own, at a fixed rate."""
    body = orjson.loads(await request.read())
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    interval_s = body["seed"] / 1000
    last = body["max_tokens"] - 1
    for index in range(body["max_tokens"]):
        await asyncio.sleep(interval_s)
        finish_reason = "length" if index == last else None
        await response.write(_chunk_event(index, finish_reason))
    await response.write(b"data: [DONE]\n\n")
    return response


async def _usage(_):
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return web.json_response({"cpu_s": usage.ru_utime + usage.ru_stime})


def _source_app(_session, _upstream):
    app = web.Application()
    app.add_routes([web.post(PATH, _source)])
    return app


def _bare_app(session, upstream):
    """Return a relay of bytes that looks at nothing."""

    async def relay(request):
        data = await request.read()
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        async with session.post(upstream + PATH, data=data) as answer:
            await response.prepare(request)
            async for piece in answer.content.iter_any():
                await response.write(piece)
        await response.write_eof()
        return response

    app = web.Application()
    app.add_routes([web.post(PATH, relay), web.get("/usage", _usage)])
    return app


def _host_app(session, upstream):
    """Return the caller API of an entry host with a fixed configuration."""
    configuration = Configuration(
        version=0,
        services_by_name={"s": messages.ServiceDeclaration(name="s")},
        models_by_name={MODEL: messages.ModelDeclaration(name=MODEL, service_name="s")},
        tenants_by_id={
            "t": messages.TenantDeclaration(name="t", key_digests=[key_digest(KEY)])
        },
        servers_by_id={
            "e": messages.BackendServerDeclaration(
                name="e", service_name="s", url=upstream, slots=1000
            )
        },
    )
    config = types.SimpleNamespace(current=configuration)
    tenants = Tenants()
    tenants.install(configuration)
    clock = Clock()
    online = OnlineService(
        lambda: config.current,
        EngineClient(session, clock),
        clock,
        random.Random(1),
        "",
        _ignore,
        _ignore,
    )
    app = make_app(ApiContext(online, config, tenants, Metrics(), clock=clock))
    app.add_routes([web.get("/usage", _usage)])
    return app


APPS = {"source": _source_app, "bare": _bare_app, "host": _host_app}


async def _serve(role, upstream):
    """Run one process of the experiment until its stdin closes."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        app = APPS[role](session, upstream)
        limits = messages.LimitSettings()
        async with start_listener(app, "127.0.0.1", 0, limits) as port:
            print(port, flush=True)
            await asyncio.to_thread(sys.stdin.read)


def _start(role, upstream=""):
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.relay", "--role", role, "--upstream", upstream],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    return process, f"http://127.0.0.1:{int(process.stdout.readline())}"


def _stop(process):
    process.stdin.close()
    process.stdout.close()
    try:
        process.wait(START_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


async def _stream(session, url, tokens, interval_ms):
    """Read one answer and return the number of its tokens."""
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "hello"}],
        "stream": True,
        "max_tokens": tokens,
        "seed": interval_ms,
    }
    headers = {"Authorization": f"Bearer {KEY}"}
    count, last = 0, b""
    async with session.post(url + PATH, json=body, headers=headers) as response:
        response.raise_for_status()
        async for piece in response.content.iter_any():
            count += piece.count(b"data: {")
            last = (last + piece)[-16:]
    if count != tokens or not last.endswith(b"data: [DONE]\n\n"):
        raise RuntimeError(f"{url} answered {count} of {tokens} tokens")
    return count


async def _cpu_s(session, url):
    async with session.get(url + "/usage") as response:
        return (await response.json())["cpu_s"]


async def _round(session, url, options):
    """Return the processor time per token in microseconds of one round."""
    before = await _cpu_s(session, url)
    counts = await asyncio.gather(
        *(
            _stream(session, url, options.tokens, options.interval_ms)
            for _ in range(options.streams)
        )
    )
    return (await _cpu_s(session, url) - before) / sum(counts) * 1e6


async def _measure(urls, options):
    """Return the times per token by relay, one for each round."""
    times = {name: [] for name in urls}
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        asyncio.timeout(RUN_TIMEOUT_S),
        aiohttp.ClientSession(connector=connector) as session,
    ):
        # The first round warms up connections and code and does not count.
        for number in range(options.rounds + 1):
            results = await asyncio.gather(
                *(_round(session, url, options) for url in urls.values())
            )
            for name, value in zip(urls, results, strict=True):
                if number:
                    times[name].append(value)
    return times


def _run(options):
    """Start the processes, measure and return the result."""
    processes = []
    try:
        source, source_url = _start("source")
        processes.append(source)
        urls = {}
        for role in ("bare", "host"):
            process, urls[role] = _start(role, source_url)
            processes.append(process)
        times = asyncio.run(_measure(urls, options))
    finally:
        for process in processes:
            _stop(process)
    ratios = [h / b for h, b in zip(times["host"], times["bare"], strict=True)]
    medians = {name: statistics.median(values) for name, values in times.items()}
    return {
        "experiment": "relay",
        "streams": options.streams,
        "tokens_per_stream": options.tokens,
        "interval_ms": options.interval_ms,
        "rounds_us_per_token": {
            name: [round(value, 2) for value in values]
            for name, values in times.items()
        },
        "bare_us_per_token": round(medians["bare"], 2),
        "host_us_per_token": round(medians["host"], 2),
        "rounds_ratio": [round(value, 3) for value in ratios],
        "ratio": round(statistics.median(ratios), 3),
        "goal": options.goal,
    }


def main():
    """Run the experiment, or one of its processes with --role."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", choices=APPS)
    parser.add_argument("--upstream", default="")
    parser.add_argument("--streams", type=int, default=64)
    parser.add_argument("--tokens", type=int, default=200)
    parser.add_argument("--interval-ms", type=int, default=20)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--goal", type=float, default=2.0)
    options = parser.parse_args()
    if options.role:
        asyncio.run(_serve(options.role, options.upstream))
        return 0
    result = _run(options)
    print(json.dumps(result, indent=2))
    return 0 if result["ratio"] <= result["goal"] else 1


if __name__ == "__main__":
    sys.exit(main())
