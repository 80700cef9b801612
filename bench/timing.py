"""Processor time of small steps, asynchronous ones too."""

import time


def mean_us(step, repeats, units=1):
    """Return the processor time of a step per unit in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        step()
    return round((time.process_time() - started) / repeats / units * 1e6, 3)


async def mean_us_async(make, repeats):
    """Return the processor time of awaiting what `make` returns."""
    started = time.process_time()
    for _ in range(repeats):
        await make()
    return round((time.process_time() - started) / repeats * 1e6, 3)
