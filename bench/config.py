"""Cost of the configuration by the number of tenants, printed as JSON.

Run from the root of the repository: python -m bench.config
"""

import gc
import sys
import time
import tracemalloc

import orjson

from galenascale import codec, config_snapshots, config_state
from galenascale.configuration import Configuration
from galenascale.generated.messages import (
    ConfigChange,
    ConfigEntry,
    LogBatch,
    LogRecord,
    RecordKind,
)

TENANTS = (10, 260, 2600)
CHANGES = 300
BUILDS = 10
MAX_APPEND_BYTES = 1_000_000


def tenant_entry(number, share):
    """Return the entry of one tenant with two keys."""
    data = {
        "kind": "tenant",
        "name": f"team-{number}",
        "key_digests": [f"{number:064x}", f"{number + 100_000:064x}"],
        "share": share,
        "max_concurrency": 64,
        "requests_per_s": 12.5,
    }
    return ConfigEntry("tenant", data["name"], orjson.dumps(data).decode())


def change_body(change_id, base, entries):
    """Return the body of an append that holds a change."""
    content = codec.encode(ConfigChange(change_id, base, entries, "bench"))
    record = LogRecord(change_id, RecordKind.CONFIG_CHANGE, 1, content)
    return codec.encode(LogBatch(records=[record]))


def cpu_ms(step, repeats):
    """Return the processor time of one step in ms, as a mean."""
    started = time.process_time()
    for _ in range(repeats):
        step()
    return round((time.process_time() - started) * 1000 / repeats, 4)


def traced_bytes(make):
    """Return what a function makes and the memory it still holds."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, held


def first_state(body):
    """Return the state after one change."""
    state = config_state.ConfigState()
    config_state.apply_body(state, 0, body)
    return state


def measure(tenants):
    """Return the figures for a number of tenants."""
    body = change_body("0", -1, [tenant_entry(n, 1.0) for n in range(tenants)])
    state, state_bytes = traced_bytes(lambda: first_state(body))
    view, view_bytes = traced_bytes(lambda: Configuration.from_state(state))
    build_ms = cpu_ms(lambda: Configuration.from_state(state), BUILDS)
    bodies = [
        change_body(str(at), at - 1, [tenant_entry(at % tenants, 2.0)])
        for at in range(1, CHANGES + 1)
    ]
    state.touched.clear()
    times_ms = {"apply": 0.0, "install": 0.0}
    for at, change in enumerate(bodies, 1):
        started = time.process_time()
        config_state.apply_body(state, at, change)
        applied = time.process_time()
        view = view.updated(state, state.touched)
        state.touched.clear()
        times_ms["apply"] += (applied - started) * 1000
        times_ms["install"] += (time.process_time() - applied) * 1000
    if view != Configuration.from_state(state):
        raise AssertionError("the incremental view differs from a full build")
    parts = config_snapshots.split(state, MAX_APPEND_BYTES)
    snapshot = config_state.to_snapshot(state)
    return {
        "tenants": tenants,
        "apply_one_change_cpu_ms": round(times_ms["apply"] / CHANGES, 4),
        "install_one_change_cpu_ms": round(times_ms["install"] / CHANGES, 4),
        "full_build_cpu_ms": build_ms,
        "snapshot_write_cpu_ms": cpu_ms(
            lambda: config_snapshots.split(state, MAX_APPEND_BYTES), BUILDS
        ),
        "snapshot_restore_cpu_ms": cpu_ms(
            lambda: config_state.from_snapshot(snapshot), BUILDS
        ),
        "snapshot_bytes": sum(len(part) for part in parts),
        "snapshot_parts": len(parts),
        "state_bytes": state_bytes,
        "configuration_bytes": view_bytes,
    }


def main():
    """Print the figures for each number of tenants."""
    rows = [measure(tenants) for tenants in TENANTS]
    print(orjson.dumps(rows, option=orjson.OPT_INDENT_2).decode(), file=sys.stdout)


if __name__ == "__main__":
    main()
