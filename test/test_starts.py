"""Hosts that start without the log, without peers or on a trimmed log."""

import asyncio

import aiohttp
import attrs

from bench import rolling
from bench.in_force import tenant_entry
from galenascale.commands.plan import compare_with_host
from galenascale.embedded import EmbeddedDeployment
from galenascale.host import Host
from galenascale.standins.platform import PlatformFaults
from test.test_partitions import cut_off, execution
from test.test_stopping import CHAT, post, small_deployment, until


def deployment_with(**log_settings):
    """Return the small deployment with other settings of the log."""
    deployment = small_deployment()
    settings = deployment.settings
    log = attrs.evolve(settings.host.log, **log_settings)
    host = attrs.evolve(settings.host, log=log)
    settings = attrs.evolve(settings, host=host)
    return attrs.evolve(deployment, settings=settings)


def session_of(deployment):
    """Return a client session with the caller's key."""
    key = deployment.settings.caller_key
    return aiohttp.ClientSession(headers={"Authorization": f"Bearer {key}"})


async def stop_all(embedded):
    """Stop all hosts and return new ones with the same settings."""
    old = list(embedded.hosts_by_id.values())
    await asyncio.gather(*(host.stop() for host in old))
    for host in old:
        embedded.hosts_by_id[host.host_id] = Host.from_config(host.settings)
    return list(embedded.hosts_by_id.values())


async def status_of(session, url):
    """Return the status of /readyz."""
    async with session.get(f"{url}/readyz") as response:
        return response.status


async def test_start_without_the_log_and_without_anyone():
    """Guards against hosts that serve without knowing the configuration."""
    deployment = small_deployment()
    async with (
        asyncio.timeout(60),
        EmbeddedDeployment(deployment) as embedded,
        session_of(deployment) as session,
    ):
        hosts = list(embedded.hosts_by_id.values())
        verdict = await hosts[0].config.publish([tenant_entry(1)], 0)
        await until(
            lambda: all(
                host.config.current.version == verdict.version for host in hosts
            )
        )
        embedded.platform.faults = PlatformFaults("down", "down", "down")
        # Returns once the host is ready, which it can be by its peers only.
        await embedded.restart(hosts[2].host_id)
        host = embedded.hosts_by_id[hosts[2].host_id]
        assert host.config.current.version == verdict.version
        url = host.settings.url
        await host.stop()
        lonely = embedded.hosts_by_id[host.host_id] = Host.from_config(host.settings)
        for peer in hosts[:2]:
            peer.peers.blocked = lambda other: other == host.host_id
            peer.peering.server.blocked = peer.peers.blocked
        await lonely.start()
        for _ in range(3):
            await lonely.peering.gossip.round()
        assert await status_of(session, url) == 503
        async with session.post(f"{url}/v1/chat/completions", json=CHAT) as response:
            assert response.status in (401, 503)
            assert execution(await response.text()) == "not_run"
        embedded.platform.faults = PlatformFaults()
        cut_off(embedded, lonely, cut=False)
        await until(lonely.is_ready)
        assert await status_of(session, url) == 200
        assert lonely.config.current.version == verdict.version


async def test_whole_hosts_restore_a_trimmed_state():
    """Guards results, answers and configuration beyond the log's retention."""
    deployment = deployment_with(shards=1, snapshot_records=30, retention_records=100)
    async with (
        asyncio.timeout(90),
        EmbeddedDeployment(deployment) as embedded,
        session_of(deployment) as session,
    ):
        embedded.platform.log.retention_records = 160
        urls = [host.settings.url for host in embedded.hosts_by_id.values()]
        report = rolling.Report()
        balancer = rolling.Balancer(session, urls, report)
        job = await rolling.submit_job(balancer, rolling.make_items(20))
        await rolling.finish_job(balancer, job, report)
        hosts = list(embedded.hosts_by_id.values())
        follower = hosts[0].shards.follower(0)
        answers = []
        while embedded.platform.log.bounds("work.0")[0] < 50:
            start = len(answers)
            for number in range(start, start + 10):
                answers.append(await post(session, urls[0], "a seat", f"k{number}"))
            version = hosts[0].config.current.version
            await hosts[0].config.publish([tenant_entry(start)], version)
            # Gives the owner of the shard time to copy bodies forward.
            through = follower.snapshot_through
            if follower.state.through_offset > through + 30:
                await until(lambda seen=through: follower.snapshot_through > seen)
            await follower.refresh()
        version = hosts[0].config.current.version
        new = await stop_all(embedded)
        await asyncio.gather(*(host.start() for host in new))
        await until(lambda: all(host.is_ready() for host in new))
        assert {host.config.current.version for host in new} == {version}
        again = rolling.Report()
        await rolling.finish_job(rolling.Balancer(session, urls, again), job, again)
        assert (again.job_status, again.items_with_one_result) == ("completed", 20)
        assert answers == [
            await post(session, urls[-1], "a seat", f"k{number}")
            for number in range(len(answers))
        ]


async def test_operator_starts_a_stream_over_that_lost_its_snapshot():
    """Guards against a deployment that no command can bring back."""
    deployment = small_deployment()
    operator_key = deployment.settings.operator_key
    async with (
        asyncio.timeout(60),
        EmbeddedDeployment(deployment) as embedded,
        session_of(deployment) as session,
    ):
        body = embedded.platform.log.streams_by_name["config.0"].records[0]
        version = embedded.hosts_by_id["kigali-a-1"].config.current.version
        new = await stop_all(embedded)
        embedded.platform.log.append("config.0", body)
        stream = embedded.platform.log.streams_by_name["config.0"]
        stream.trim(1)
        await asyncio.gather(*(host.start() for host in new))
        await until(lambda: all(host.config.has_gap for host in new))
        url = new[0].settings.url
        assert await status_of(session, url) == 503
        _, found = await asyncio.to_thread(
            compare_with_host, str(deployment.path / "declarations"), url, operator_key
        )
        change = {
            "base_version": -1,
            "restart": True,
            "change_id": "restart-1",
            "entries": [
                {"kind": item.kind, "name": item.name}
                | {"declaration": deployment_value(deployment, embedded, item)}
                for item in found.entries
            ],
        }
        headers = {"Authorization": f"Bearer {operator_key}"}
        path = f"{url}/operator/v1/config"
        async with session.post(path, json=change, headers=headers) as response:
            assert response.status == 200, await response.text()
        await until(lambda: all(host.is_ready() for host in new))
        assert {host.config.current.version for host in new} == {version + 2}
        # A second copy, delivered late, changes nothing.
        embedded.platform.log.append("config.0", stream.records[-1])
        await asyncio.gather(*(host.config.refresh() for host in new))
        assert {host.config.current.version for host in new} == {version + 2}
        async with session.post(path, json=change, headers=headers) as response:
            assert response.status == 409
        assert len(new[1].config.current.servers_by_id) == 8
        assert await status_of(session, url) == 200


def deployment_value(deployment, embedded, item):
    """Return the declaration of an entry with the URL of its stand-in."""
    urls = {name: item.url for name, item in embedded.standins_by_id.items()}
    (value,) = (
        value
        for value in deployment.declarations
        if (value["kind"], value["name"]) == (item.kind, item.name)
    )
    return value | ({"url": urls[item.name]} if item.name in urls else {})
