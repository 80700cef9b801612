"""Layers of the package, sizes of modules and generated files."""

import ast
import subprocess
import sys
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "galenascale"
CORE = (
    "galenascale.ledger",
    "galenascale.routing",
    "galenascale.config_state",
    "galenascale.admission",
    "galenascale.membership",
    "galenascale.poison",
    "galenascale.hashing",
    "galenascale.batch.slots",
    "galenascale.placement.facts",
    "galenascale.placement.planner",
    "galenascale.placement.replicas",
    "galenascale.placement.targets",
    "galenascale.gateway.answer_meaning",
    "galenascale.gateway.attempts",
    "galenascale.gateway.balancing",
    "galenascale.gateway.caller_memory",
    "galenascale.gateway.configuration",
    "galenascale.gateway.event_stream",
    "galenascale.gateway.health",
    "galenascale.gateway.load",
    "galenascale.gateway.ownership",
    "galenascale.gateway.servers",
    "galenascale.gateway.slots.crossing",
    "galenascale.gateway.slots.decisions",
    "galenascale.gateway.slots.idle_servers",
    "galenascale.gateway.slots.memory_hold",
    "galenascale.gateway.slots.pool",
    "galenascale.gateway.slots.pool_map",
    "galenascale.gateway.slots.pool_reports",
    "galenascale.gateway.slots.preemption",
    "galenascale.gateway.slots.run_times",
    "galenascale.gateway.slots.runs",
    "galenascale.gateway.slots.server_speeds",
    "galenascale.gateway.slots.tenant_shares",
    "galenascale.gateway.slots.wait_queue",
    "galenascale.gateway.weight_versions",
    "galenascale.gateway.jobs.item_order",
    "galenascale.gateway.jobs.records",
    "galenascale.gateway.jobs.state",
)
FORBIDDEN_IN_CORE = ("aiohttp", "asyncio", "galenascale.log_client")
PLATFORM = "galenascale.platform"
STANDINS = "galenascale.standins"
# The fold must give the same verdict on every host.
FORBIDDEN_IN_FOLDS = ("time", "random", "secrets", "uuid", "galenascale.clock")
FOLDS = ("galenascale.ledger", "galenascale.config_state")
MAX_LINES = 300
MAX_LINES_OF_EXCEPTIONS = 400
# Modules above the limit for now.
LONGER_MODULES = {
    "galenascale.calls",
    "galenascale.config_follower",
    "galenascale.routing.router",
}


def module_name(path):
    """Return the dotted name of a source file of the package."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


PATHS_BY_MODULE = {module_name(path): path for path in PACKAGE.rglob("*.py")}


def is_in(module, names):
    """Return True if a module is one of the names or inside one."""
    return any(module == name or module.startswith(f"{name}.") for name in names)


@cache
def imports_of(module):
    """Return the modules that the import statements of a module name."""
    found = set()
    for node in ast.walk(ast.parse(PATHS_BY_MODULE[module].read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{module} has a relative import"
            names = {f"{node.module}.{alias.name}" for alias in node.names}
            submodules = names & PATHS_BY_MODULE.keys()
            found |= submodules
            if len(submodules) < len(names):
                found.add(node.module)
    return frozenset(found)


def reached_from(module):
    """Return (module, chain) for all that a module imports, indirectly too."""
    chains = {module: (module,)}
    waiting = [module]
    while waiting:
        current = waiting.pop()
        for name in imports_of(current) if current in PATHS_BY_MODULE else ():
            if name not in chains:
                chains[name] = (*chains[current], name)
                waiting.append(name)
    return chains


@pytest.mark.parametrize(
    ("layer", "forbidden"),
    [
        (CORE, FORBIDDEN_IN_CORE),
        (FOLDS, FORBIDDEN_IN_FOLDS),
        (("galenascale",), ("galenascale.commands",)),
        (("galenascale.gateway",), (PLATFORM,)),
    ],
)
def test_no_module_reaches_what_its_layer_must_not(layer, forbidden):
    """Guards decisions against I/O and clocks, adapters against commands."""
    entry_points = ("galenascale.__main__", "galenascale.platform.__main__")
    outside = ("galenascale.commands", *entry_points)
    modules = [
        name
        for name in PATHS_BY_MODULE
        if is_in(name, layer) and not is_in(name, outside)
    ]
    assert all(any(is_in(name, (part,)) for name in modules) for part in layer)
    found = [
        " > ".join(chain)
        for module in modules
        for name, chain in reached_from(module).items()
        if is_in(name, forbidden)
    ]
    assert found == []


def test_only_what_builds_a_process_knows_the_platform():
    """Guards the product against names and formats of one platform."""
    users = {
        name
        for name in PATHS_BY_MODULE
        if not is_in(name, (PLATFORM,))
        and any(is_in(used, (PLATFORM,)) for used in imports_of(name))
    }
    assert users == {
        "galenascale.commands.gateway",
        "galenascale.embedded",
        "galenascale.host",
    }


def test_calls_of_the_platform_are_named_in_one_place():
    """Guards the platform's names against a second client beside the first."""
    users = {
        name
        for name, path in PATHS_BY_MODULE.items()
        if '"/log-' in path.read_text() and not is_in(name, (STANDINS,))
    }
    assert users == {"galenascale.platform.store"}


def test_modules_are_small():
    """Guards against modules that grow without a decision to let them."""
    lines_by_module = {
        name: len(path.read_text().splitlines())
        for name, path in PATHS_BY_MODULE.items()
        if not is_in(name, ("galenascale.generated",))
    }
    longer = {name for name, lines in lines_by_module.items() if lines > MAX_LINES}
    assert longer <= LONGER_MODULES
    assert max(lines_by_module.values()) <= MAX_LINES_OF_EXCEPTIONS


@pytest.mark.parametrize("tool", ["generate.py", "generate_docs.py"])
def test_generated_files_are_current(tool):
    """Guards against a schema or a help text without its generated files."""
    command = [sys.executable, str(ROOT / "tools" / tool), "--check"]
    assert subprocess.run(command, capture_output=True).returncode == 0
