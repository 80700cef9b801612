"""Scheduling policies side by side on one simulated failure domain.

Deterministic: fake clock, fixed seed, no network. The goals are those of
docs/design.md, section 2.
"""

import argparse
import itertools
import json
import random
import statistics
import sys
import types
from pathlib import Path

import attrs

from bench.policy_hosts import DOMAIN, SERVICE, Host, owner_of, start_clocks
from bench.policy_load import batch_items, online_requests
from bench.policy_sim import Server, Simulation
from galenascale.deployments import EXAMPLES, Deployment
from galenascale.generated.messages import BackendServerDeclaration, ServiceDeclaration

RESULTS = Path(__file__).parent / "results"
SEED = 20
WARM_UP_S = 3.0
# Time after the last arrival until the answers are complete.
DRAIN_S = 20.0
FIRST_TOKEN_GOAL = 1.05
BATCH_GOAL = 0.95
GIVE_WAY_GOAL_S = 0.020
# Hysteresis: idle times after which batch gets capacity back.
HOLDS = (0.1, 0.5)
SHAPES = {"mutara": "assist-llm", "asociacion": "asistente-gremio"}


@attrs.frozen
class Policy:
    """What differs between the compared policies."""

    name: str
    # Batch streams on a server without regard to online load.
    fixed_batch: int | None = None
    # Slots of a server that online may use; None for all.
    online_slots: int | None = None
    reserve: int | None = None
    # Hold time of batch slots; None for the default.
    hold_s: float | None = None


ALONE = Policy("online alone", fixed_batch=0)
POLICIES = (
    ALONE,
    Policy("first come, first served", fixed_batch=8),
    Policy("static split", fixed_batch=4, online_slots=4),
    Policy("this policy"),
)


@attrs.define
class Figures:
    """What batch did, counted while online requests arrive."""

    batch_items: int = 0
    batch_tokens: int = 0
    batch_starts: int = 0
    interrupted: int = 0
    tokens_lost: int = 0
    prefilled_again: int = 0
    # Notices of online requests to slot owners.
    notices: int = 0


@attrs.define
class RequestLog:
    """Times of one online request."""

    work: object
    times: list = attrs.field(factory=list)

    def token(self, now):
        """Note a token at the entry host."""
        self.times.append(now)


class Fleet:
    """One failure domain under one policy."""

    def __init__(self, shape, policy, seconds, seed=SEED):
        deployment = Deployment.from_directory(EXAMPLES / shape)
        service_name = SHAPES[shape]
        self.seed, self.policy, self.seconds = seed, policy, seconds
        self.rng = random.Random(seed)
        self.simulation = Simulation()
        self.figures = Figures()
        self.items = batch_items(seed)
        self.latency_s = deployment.settings.latency.between_domains_ms / 1000
        engines = [
            item
            for item in deployment.settings.backend_servers
            if item.service_name == service_name
        ]
        declared = next(
            item for item in deployment.declarations if item["name"] == service_name
        )
        reserve = policy.reserve
        if reserve is None:
            reserve = declared["batch_reserve"]
        self.service = ServiceDeclaration(name=SERVICE, batch_reserve=reserve)
        self.servers_by_id = {
            item.server_id: Server(
                self.simulation, item.server_id, item, self.latency_s, reserve
            )
            for item in engines
        }
        self.declared = [
            BackendServerDeclaration(
                name=item.server_id,
                service_name=SERVICE,
                failure_domain=DOMAIN,
                slots=item.slots,
            )
            for item in engines
        ]
        self.routed = [
            attrs.evolve(item, slots=policy.online_slots or item.slots)
            for item in self.declared
        ]
        self.config = types.SimpleNamespace(
            services_by_name={SERVICE: self.service},
            servers_by_id={item.name: item for item in self.declared},
        )
        host_ids = [place.host_id for place in deployment.settings.hosts]
        self._owners = {name: owner_of(host_ids, name) for name in self.servers_by_id}
        self.hosts = [Host(self, host_id) for host_id in host_ids]
        self.hosts_by_id = {host.host_id: host for host in self.hosts}
        self.gives_way = policy.fixed_batch is None
        if policy.hold_s is not None:
            for host in self.hosts:
                host.capacity.hold_s = policy.hold_s

    def slot_owner(self, server):
        """Return the host id of the owner of a server's batch slots."""
        return self._owners[server.name]

    def batch_slots(self, host):
        """Return (server, free batch slots) of a host under the policy."""
        if self.gives_way:
            return host.capacity.free_slots(SERVICE)
        return [
            (server, self.policy.fixed_batch - host.worker.running(server.name))
            for server in self.declared
            if self.slot_owner(server) == host.host_id
        ]

    def run(self):
        """Run to the end of all online requests; return the RequestLogs."""
        logs = []
        for work in online_requests(self.seed, self.seconds, len(self.declared)):
            host, log = self.rng.choice(self.hosts), RequestLog(work)
            logs.append(log)
            self.simulation.at(
                WARM_UP_S + work.at,
                lambda host=host, work=work, log=log: host.arrive(work, log),
            )
        start_clocks(self)
        self.simulation.run(WARM_UP_S)
        for server in self.servers_by_id.values():
            server.count()
            server.reset()
        self.figures = Figures()
        self.simulation.run(WARM_UP_S + self.seconds)
        for server in self.servers_by_id.values():
            server.count()
        measured, self.figures = self.figures, Figures()
        self.simulation.run(WARM_UP_S + self.seconds + DRAIN_S)
        return logs, measured


def percentiles(values):
    """Return p50, p95 and p99 in milliseconds."""
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return {f"p{share}": round(cuts[share - 1] * 1000, 2) for share in (50, 95, 99)}


def measure(shape, policy, seconds, seed=SEED):
    """Return the figures of one policy as a dict for JSON."""
    fleet = Fleet(shape, policy, seconds, seed)
    logs, figures = fleet.run()
    if any(len(log.times) != log.work.answer for log in logs):
        raise RuntimeError("an online answer is incomplete")
    first = [log.times[0] - WARM_UP_S - log.work.at for log in logs]
    gaps = [b - a for log in logs for a, b in itertools.pairwise(log.times)]
    idle = sum(server.idle for server in fleet.servers_by_id.values())
    batch = sum(server.batch for server in fleet.servers_by_id.values())
    allowed = sum(server.allowed for server in fleet.servers_by_id.values())
    given = [at for server in fleet.servers_by_id.values() for at in server.give_way_s]
    return {
        "policy": policy.name,
        "reserve": fleet.service.batch_reserve if fleet.gives_way else None,
        "online_requests": len(logs),
        "first_token_ms": percentiles(first),
        "between_tokens_ms": percentiles(gaps),
        "batch_items_per_s": round(figures.batch_items / seconds, 2),
        "batch_tokens_per_s": round(figures.batch_tokens / seconds, 1),
        "idle_share_used": round(batch / idle, 4),
        "allowed_share_used": round(batch / allowed, 4),
        "interrupted": figures.interrupted,
        "tokens_lost": figures.tokens_lost,
        "tokens_prefilled_again": figures.prefilled_again,
        "owner_notices": figures.notices,
        "needed_a_slot": len(given),
        "give_way_ms": {**percentiles(given), "max": round(max(given) * 1000, 2)}
        if len(given) > 1
        else None,
    }


def compare(shape, seconds, policies=POLICIES, seed=SEED):
    """Return the figures of all policies, with first token ratios."""
    rows = [measure(shape, policy, seconds, seed) for policy in policies]
    alone = rows[0]["first_token_ms"]["p95"]
    for row in rows:
        row["p95_ratio"] = round(row["first_token_ms"]["p95"] / alone, 4)
    return rows


def misses(row):
    """Return the names of the goals that a row of this policy misses."""
    held = {
        "first_token": row["p95_ratio"] <= FIRST_TOKEN_GOAL,
        "batch": row["allowed_share_used"] >= BATCH_GOAL,
        "give_way": row["give_way_ms"] is not None
        and row["give_way_ms"]["max"] <= GIVE_WAY_GOAL_S * 1000,
    }
    return [name for name, value in held.items() if not value]


def table(rows):
    """Return a Markdown table of rows."""
    lines = [
        "| policy | reserve | first token p50/p95/p99 ms | ratio | between tokens "
        "p50/p95/p99 ms | items/s | tokens/s | idle used | allowed used | "
        "interrupted | lost | prefilled again | give way p50/p95/p99/max ms |",
        "|---" * 13 + "|",
    ]
    for row in rows:
        first, gaps = row["first_token_ms"], row["between_tokens_ms"]
        given = row["give_way_ms"]
        cells = [
            row["policy"],
            "" if row["reserve"] is None else row["reserve"],
            "/".join(f"{first[key]:.1f}" for key in first),
            f"{row['p95_ratio']:.3f}",
            "/".join(f"{gaps[key]:.1f}" for key in gaps),
            row["batch_items_per_s"],
            row["batch_tokens_per_s"],
            f"{row['idle_share_used']:.3f}",
            f"{row['allowed_share_used']:.3f}",
            row["interrupted"],
            row["tokens_lost"],
            row["tokens_prefilled_again"],
            "/".join(f"{given[key]:.1f}" for key in given) if given else "",
        ]
        lines.append("| " + " | ".join(map(str, cells)) + " |")
    return "\n".join(lines)


def main():
    """Compare the policies and the knob; write bench/results/policy.json."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--no-knob", action="store_true")
    options = parser.parse_args()
    results, missed = {}, []
    for shape in SHAPES:
        policies = list(POLICIES)
        if not options.no_knob:
            policies += [Policy("this policy", reserve=count) for count in range(5)]
            policies += [Policy(f"hold {hold_s} s", hold_s=hold_s) for hold_s in HOLDS]
        rows = results[shape] = compare(shape, options.seconds, policies, options.seed)
        missed += [f"{shape}: {name}" for name in misses(rows[len(POLICIES) - 1])]
        print(f"\n{shape}\n\n{table(rows)}")
    if not options.no_knob:
        RESULTS.mkdir(exist_ok=True)
        (RESULTS / "policy.json").write_text(json.dumps(results, indent=2) + "\n")
    print("\nMissed goals: " + (", ".join(missed) or "none") + ".")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
