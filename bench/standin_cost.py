"""Processor time of the engine stand-in for each streamed token.

Run from the root: python -m bench.standin_cost. The engine is a process of its
own on loopback; its processor time is read from the operating system before
and after a fixed number of streams, so the caller's share is left out.
"""

import argparse
import asyncio
import json
import os
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from galenascale.generated.messages import EngineStandinSettings
from galenascale.standins.engine_model import EngineModel, Stream

START_TIMEOUT_S = 30
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ENGINE = {
    "decode_step_ms": 10.0,
    "decode_step_per_stream_ms": 0.0,
    "kv_tokens": 1_000_000,
}


def processor_s(pid):
    """Return user and system time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def stream(session, url, number, tokens):
    """Read one streamed answer."""
    body = {"model": "m", "prompt": f"{number}", "max_tokens": tokens, "stream": True}
    async with session.post(f"{url}/v1/completions", json=body) as response:
        received = 0
        async for data in response.content.iter_any():
            received += data.count(b'"token_index"')
    assert received == tokens, (received, tokens)


async def load(url, streams, tokens):
    """Run all streams side by side; return the wall time in seconds."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        begun = time.perf_counter()
        calls = [stream(session, url, number, tokens) for number in range(streams)]
        await asyncio.gather(*calls)
        return time.perf_counter() - begun


def measure_server(streams, tokens):
    """Return processor time per token in microseconds, and tokens/s."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory, "engine.json")
        path.write_text(json.dumps(ENGINE | {"slots": streams}))
        process = subprocess.Popen(
            [sys.executable, "-m", "galenascale", "standin", "engine"]
            + ["--settings", str(path)],
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            port = re.search(r"port (\d+)", process.stderr.readline())[1]
            before = processor_s(process.pid)
            wall_s = asyncio.run(load(f"http://127.0.0.1:{port}", streams, tokens))
            used_s = processor_s(process.pid) - before
        finally:
            process.terminate()
            process.wait(START_TIMEOUT_S)
            process.stderr.close()
    return used_s / (streams * tokens) * 1e6, streams * tokens / wall_s


def measure_model(streams, tokens):
    """Return processor time per token of the model alone, in microseconds."""
    model = EngineModel(EngineStandinSettings(**ENGINE, slots=streams))
    begun = time.process_time()
    for number in range(streams):
        model.submit(0.0, Stream.from_prompt(str(number), str(number), tokens))
    while model.next_step_end is not None:
        model.advance(model.next_step_end)
    return (time.process_time() - begun) / model.generated_tokens * 1e6


def main():
    """Print one JSON line for each run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="+", default=[8, 64, 128])
    parser.add_argument("--tokens", type=int, default=500)
    parser.add_argument("--runs", type=int, default=3)
    options = parser.parse_args()
    for streams in options.streams:
        for run in range(options.runs):
            server_us, tokens_per_s = measure_server(streams, options.tokens)
            result = {
                "streams": streams,
                "run": run + 1,
                "server_us_per_token": round(server_us, 1),
                "tokens_per_s": round(tokens_per_s),
                "model_us_per_token": round(measure_model(streams, options.tokens), 2),
            }
            print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main()
