"""The store is restored from an older copy and assigns the lost revisions again.

Guards against a watch that misses changes because its start revision now belongs to another
change, and against dropping a list or a zone drain as late because its revision is lower.
"""

import asyncio

import pytest
from wheatslip.distribution.relaytree import relay_order
from wheatslip.store.instances import InstanceState
from wheatslipd.feed import watchcheck

from standins.cluster import eventually
from test.helper import run
from test.routed_fleet import configuration, fleet

IN_FORCE_SECONDS = 2.0  # from the write
NAMES = "abcd"
UNREAD_KIND = "other"  # no daemon reads this kind


def watching_fleet():
    return fleet(*NAMES, watch="20s", watch_check="1s")


async def wait_until_watching(cluster):
    async def is_watching():
        return (
            cluster.store.waiting["config"] >= 2 and cluster.store.waiting["evacuations"] >= 2
        )

    await eventually(is_watching)


async def wait_at_all_daemons(cluster, condition):
    """Wait until the condition holds at each daemon."""

    async def holds_everywhere():
        return all(condition(daemon) for daemon in cluster.daemons.values())

    async with asyncio.timeout(IN_FORCE_SECONDS):
        await eventually(holds_everywhere)


@pytest.mark.parametrize("lost_changes", [0, 1, 5])
def test_a_change_at_a_reused_revision_arrives(lost_changes):
    """The restore loses `lost_changes` changes, after which the watches had started."""

    async def scenario():
        async with watching_fleet() as cluster:
            await wait_until_watching(cluster)
            snapshot = cluster.store.snapshot()
            for number in range(lost_changes):
                cluster.store.write(UNREAD_KIND, f"lost-{number}", number)
            cluster.store.write("config", "main", configuration(2))
            await cluster.ready(2)
            cluster.store.restore(snapshot)
            cluster.store.write("config", "main", configuration(3))
            await wait_at_all_daemons(cluster, lambda daemon: daemon.status().version == 3)

    run(scenario)


def test_a_restored_store_does_not_roll_back_the_configuration():
    async def scenario():
        async with watching_fleet() as cluster:
            await wait_until_watching(cluster)
            snapshot = cluster.store.snapshot()
            cluster.store.write("config", "main", configuration(2))
            await cluster.ready(2)
            cluster.store.restore(snapshot)
            await asyncio.sleep(2.5)
            assert {daemon.status().version for daemon in cluster.daemons.values()} == {2}
            cluster.store.write("config", "main", configuration(2))
            cluster.store.write("config", "main", configuration(3))
            await wait_at_all_daemons(cluster, lambda daemon: daemon.status().version == 3)

    run(scenario)


def test_a_lost_instance_entry_is_written_again():
    async def scenario():
        async with watching_fleet() as cluster:
            await wait_until_watching(cluster)
            snapshot = cluster.store.snapshot()
            await cluster.add("e")
            await cluster.ready()
            cluster.store.restore(snapshot)

            async def is_listed():
                return ("wheatslip-instances", "e") in cluster.store.objects

            async with asyncio.timeout(IN_FORCE_SECONDS):
                await eventually(is_listed)
            await wait_at_all_daemons(
                cluster, lambda daemon: "e" in daemon.feed.cache.instances
            )

    run(scenario)


def test_a_restored_instance_entry_is_listed_until_it_is_removed_again():
    async def scenario():
        async with watching_fleet() as cluster:
            await wait_until_watching(cluster)
            cluster.store.write("wheatslip-instances", "gone", list_entry("gone"))
            await wait_at_all_daemons(
                cluster, lambda daemon: "gone" in daemon.feed.cache.instances
            )
            snapshot = cluster.store.snapshot()
            cluster.store.remove("wheatslip-instances", "gone")
            await wait_at_all_daemons(
                cluster, lambda daemon: "gone" not in daemon.feed.cache.instances
            )
            cluster.store.restore(snapshot)
            await wait_at_all_daemons(
                cluster, lambda daemon: "gone" in daemon.feed.cache.instances
            )
            cluster.store.remove("wheatslip-instances", "gone")
            await wait_at_all_daemons(
                cluster, lambda daemon: "gone" not in daemon.feed.cache.instances
            )

    run(scenario)


def test_a_daemon_started_after_a_restore_gets_the_newer_configuration_from_its_parent():
    async def scenario():
        async with watching_fleet() as cluster:
            await wait_until_watching(cluster)
            snapshot = cluster.store.snapshot()
            cluster.store.write("config", "main", configuration(2))
            await cluster.ready(2)
            cluster.store.restore(snapshot)
            follower = relay_order(NAMES)[-1]
            await cluster.stop(follower)
            await cluster.start(follower)
            await wait_at_all_daemons(cluster, lambda daemon: daemon.status().version == 2)

    run(scenario)


def test_a_change_arrives_after_two_restores_in_a_row():
    async def scenario():
        async with watching_fleet() as cluster:
            await wait_until_watching(cluster)
            snapshot = cluster.store.snapshot()
            cluster.store.write("config", "main", configuration(2))
            await cluster.ready(2)
            cluster.store.restore(snapshot)
            await asyncio.sleep(0.2)
            cluster.store.write(UNREAD_KIND, "again", 1)
            cluster.store.restore(snapshot)
            cluster.store.write("config", "main", configuration(3))
            await wait_at_all_daemons(cluster, lambda daemon: daemon.status().version == 3)

    run(scenario)


def test_a_lost_leaving_state_is_listed_again():
    async def scenario():
        async with watching_fleet() as cluster:
            assert await cluster.send_heartbeat("a", 1) == 200
            await wait_until_watching(cluster)
            snapshot = cluster.store.snapshot()
            assert await cluster.send_heartbeat("a", 2, "draining") == 200
            await wait_at_all_daemons(cluster, is_leaving)
            cluster.store.restore(snapshot)
            assert await cluster.send_heartbeat("a", 3, "draining") == 200

            async def is_listed():
                stored = cluster.store.objects["wheatslip-instances", "a"]
                return b"leaving" in bytes(stored.spec)

            async with asyncio.timeout(IN_FORCE_SECONDS):
                await eventually(is_listed)
            await wait_at_all_daemons(cluster, is_leaving)

    run(scenario)


def test_a_restore_causes_no_more_calls_than_a_lost_history(monkeypatch):
    # Each watcher refreshes its head once, before the calls are counted.
    monkeypatch.setattr(watchcheck, "HEAD_REFRESH_SECONDS", 1000.0)

    async def scenario():
        async with watching_fleet() as cluster:
            await wait_until_watching(cluster)
            await asyncio.sleep(1.5)
            # Each watch now starts before the current revision, so that its history is lost.
            cluster.store.write(UNREAD_KIND, "behind", 1)
            forgotten = await count_calls_after(cluster, cluster.store.drop_history)
            snapshot = cluster.store.snapshot()
            restored = await count_calls_after(cluster, lambda: cluster.store.restore(snapshot))
            assert restored <= forgotten

    run(scenario)


def is_leaving(daemon):
    return daemon.feed.cache.instances["a"].state is InstanceState.LEAVING


async def count_calls_after(cluster, cause):
    """Count the priced calls in the 3 s after `cause` changes the store."""
    before = len(cluster.store.priced_calls)
    cause()
    await asyncio.sleep(3.0)
    return len(cluster.store.priced_calls) - before


def test_a_zone_is_drained_again_after_a_restore():
    async def scenario():
        async with watching_fleet() as cluster:
            await wait_until_watching(cluster)
            snapshot = cluster.store.snapshot()
            for _ in range(2):
                cluster.store.write("evacuations", "two", {"zone": "two"})
                await wait_at_all_daemons(
                    cluster, lambda daemon: bool(daemon.view.drains.drains)
                )
                cluster.store.restore(snapshot)
                await wait_at_all_daemons(cluster, lambda daemon: not daemon.view.drains.drains)

    run(scenario)


def list_entry(name):
    """A list entry of a daemon that does not run."""
    return {
        "name": name,
        "pool": "other",
        "zone": "two",
        "address": "127.0.0.1",
        "entry_port": 1,
        "peer_port": 2,
        "control_port": 3,
    }
