"""The store comes back from a copy, and gives revisions out again.

Read from the code: a watch from a revision that the store has given to another change heard
nothing of what was written before it, and a list or a zone drain at a smaller revision than the
one before was dropped as late.
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
OTHER = "other"  # a kind that no daemon reads


def older_fleet():
    return fleet(*NAMES, watch="20s", watch_check="1s")


async def settled(one):
    async def watched():
        return one.store.waiting["config"] >= 2 and one.store.waiting["evacuations"] >= 2

    await eventually(watched)


async def reached(one, holds):
    """Wait until something holds at each daemon."""

    async def everywhere():
        return all(holds(daemon) for daemon in one.daemons.values())

    async with asyncio.timeout(IN_FORCE_SECONDS):
        await eventually(everywhere)


@pytest.mark.parametrize("more", [0, 1, 5])
def test_a_change_at_a_revision_that_was_given_to_another(more):
    """`more` changes are lost with the copy; the watches began behind them."""

    async def scenario():
        async with older_fleet() as one:
            await settled(one)
            snapshot = one.store.snapshot()
            for number in range(more):
                one.store.write(OTHER, f"lost-{number}", number)
            one.store.write("config", "main", configuration(2))
            await one.ready(2)
            one.store.restore(snapshot)
            one.store.write("config", "main", configuration(3))
            await reached(one, lambda daemon: daemon.status().version == 3)

    run(scenario)


def test_a_configuration_in_force_is_not_rolled_back():
    async def scenario():
        async with older_fleet() as one:
            await settled(one)
            snapshot = one.store.snapshot()
            one.store.write("config", "main", configuration(2))
            await one.ready(2)
            one.store.restore(snapshot)
            await asyncio.sleep(2.5)
            assert {daemon.status().version for daemon in one.daemons.values()} == {2}
            one.store.write("config", "main", configuration(2))
            one.store.write("config", "main", configuration(3))
            await reached(one, lambda daemon: daemon.status().version == 3)

    run(scenario)


def test_an_entry_that_was_lost_is_written_again():
    async def scenario():
        async with older_fleet() as one:
            await settled(one)
            snapshot = one.store.snapshot()
            await one.add("e")
            await one.ready()
            one.store.restore(snapshot)

            async def listed():
                return ("wheatslip-instances", "e") in one.store.objects

            async with asyncio.timeout(IN_FORCE_SECONDS):
                await eventually(listed)
            await reached(one, lambda daemon: "e" in daemon.feed.cache.instances)

    run(scenario)


def test_an_entry_that_was_removed_is_listed_again_until_it_is_removed_again():
    async def scenario():
        async with older_fleet() as one:
            await settled(one)
            one.store.write("wheatslip-instances", "gone", entry("gone"))
            await reached(one, lambda daemon: "gone" in daemon.feed.cache.instances)
            snapshot = one.store.snapshot()
            one.store.remove("wheatslip-instances", "gone")
            await reached(one, lambda daemon: "gone" not in daemon.feed.cache.instances)
            one.store.restore(snapshot)
            await reached(one, lambda daemon: "gone" in daemon.feed.cache.instances)
            one.store.remove("wheatslip-instances", "gone")
            await reached(one, lambda daemon: "gone" not in daemon.feed.cache.instances)

    run(scenario)


def test_a_daemon_that_starts_on_the_older_copy_has_the_newer_configuration_from_its_parent():
    async def scenario():
        async with older_fleet() as one:
            await settled(one)
            snapshot = one.store.snapshot()
            one.store.write("config", "main", configuration(2))
            await one.ready(2)
            one.store.restore(snapshot)
            follower = relay_order(NAMES)[-1]
            await one.stop(follower)
            await one.start(follower)
            await reached(one, lambda daemon: daemon.status().version == 2)

    run(scenario)


def test_a_store_that_comes_back_older_twice_in_a_row():
    async def scenario():
        async with older_fleet() as one:
            await settled(one)
            snapshot = one.store.snapshot()
            one.store.write("config", "main", configuration(2))
            await one.ready(2)
            one.store.restore(snapshot)
            await asyncio.sleep(0.2)
            one.store.write(OTHER, "again", 1)
            one.store.restore(snapshot)
            one.store.write("config", "main", configuration(3))
            await reached(one, lambda daemon: daemon.status().version == 3)

    run(scenario)


def test_an_instance_that_leaves_while_its_leaving_is_lost_is_listed_as_leaving_again():
    async def scenario():
        async with older_fleet() as one:
            assert await one.beat("a", 1) == 200
            await settled(one)
            snapshot = one.store.snapshot()
            assert await one.beat("a", 2, "draining") == 200
            await reached(one, is_leaving)
            one.store.restore(snapshot)
            assert await one.beat("a", 3, "draining") == 200

            async def listed():
                entry = one.store.objects["wheatslip-instances", "a"]
                return b"leaving" in bytes(entry.spec)

            async with asyncio.timeout(IN_FORCE_SECONDS):
                await eventually(listed)
            await reached(one, is_leaving)

    run(scenario)


def test_an_older_store_costs_no_more_calls_than_a_forgotten_history(monkeypatch):
    # Each watcher makes one proof, before the calls are counted.
    monkeypatch.setattr(watchcheck, "HEAD_REFRESH_SECONDS", 1000.0)

    async def scenario():
        async with older_fleet() as one:
            await settled(one)
            await asyncio.sleep(1.5)
            one.store.write(OTHER, "behind", 1)  # so that the history of each watch is gone
            forgotten = await calls_after(one, one.store.drop_history)
            snapshot = one.store.snapshot()
            restored = await calls_after(one, lambda: one.store.restore(snapshot))
            assert restored <= forgotten

    run(scenario)


def is_leaving(daemon):
    return daemon.feed.cache.instances["a"].state is InstanceState.LEAVING


async def calls_after(one, trouble):
    """Priced calls in the seconds after something happens to the store."""
    before = len(one.store.priced_calls)
    trouble()
    await asyncio.sleep(3.0)
    return len(one.store.priced_calls) - before


def test_a_zone_drained_twice_in_two_eras():
    async def scenario():
        async with older_fleet() as one:
            await settled(one)
            snapshot = one.store.snapshot()
            for _ in range(2):
                one.store.write("evacuations", "two", {"zone": "two"})
                await reached(one, lambda daemon: bool(daemon.view.drains.drains))
                one.store.restore(snapshot)
                await reached(one, lambda daemon: not daemon.view.drains.drains)

    run(scenario)


def entry(name):
    """A list entry of a daemon that is not there."""
    return {
        "name": name,
        "pool": "other",
        "zone": "two",
        "address": "127.0.0.1",
        "entry_port": 1,
        "peer_port": 2,
        "control_port": 3,
    }
