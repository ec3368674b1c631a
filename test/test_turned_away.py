"""Changes reach every zone while the platform rejects some daemons.

Guards against followers that stay with a watcher that has lost the platform, and against
watchers that get no changes from the watchers of other zones.
"""

import asyncio

import pytest
from wheatslip.distribution.relaytree import WATCHERS, relay_order

from fleet_standins.store import Fault
from standins.cluster import eventually
from test.helper import run
from test.routed_fleet import configuration, fleet

FAULTS = (Fault.BUSY, Fault.TOO_MANY, Fault.RESET, Fault.SILENT)
IN_FORCE_SECONDS = 2.0
NAMES = "abcdefghi"
ZONES = dict(zip(NAMES, ("one", "two", "three") * 3, strict=True))


def watchers(zone):
    """The daemons of a zone that read the platform, in tree order."""
    return relay_order(name for name in NAMES if ZONES[name] == zone)[:WATCHERS]


def three_zone_fleet():
    return fleet(*NAMES, watch="20s", watch_check="500ms", has_doors=True, zones=ZONES)


async def wait_until_watching(cluster):
    """Wait until each watcher waits at the store."""

    async def is_watching():
        waiting = [
            c for c in cluster.store.calls if "wait_ms=20000" in c and "instances" not in c
        ]
        return len(waiting) >= 3 * WATCHERS

    await eventually(is_watching)


async def shut_doors(cluster, names, fault):
    """Make the pending and future platform calls of some daemons fail."""
    for name in names:
        cluster.doors[name].block(fault)

    async def are_all_shut():
        return all(cluster.doors[name].calls_in_flight == 0 for name in names)

    await eventually(are_all_shut)


async def assert_change_in_force(cluster, version):
    """Change the configuration and assert that it is in force at each daemon in time."""
    cluster.store.write("config", "main", configuration(version))

    async def in_force():
        return all(d.status().version == version for d in cluster.daemons.values())

    async with asyncio.timeout(IN_FORCE_SECONDS):
        await eventually(in_force)


async def assert_drain_known(cluster, name):
    """Drain a server and assert that each daemon lists it as leaving in time."""
    assert await cluster.send_heartbeat(name, 1) == 200
    assert await cluster.send_heartbeat(name, 2, "draining") == 200

    async def is_known():
        listed = [d.feed.cache.instances[name] for d in cluster.daemons.values()]
        return all(instance.state == "leaving" for instance in listed)

    async with asyncio.timeout(IN_FORCE_SECONDS):
        await eventually(is_known)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("zones", [("one",), ("one", "two")])
def test_changes_reach_zones_whose_watchers_are_rejected(zones, fault):
    async def scenario():
        async with three_zone_fleet() as cluster:
            await wait_until_watching(cluster)
            await shut_doors(
                cluster, [name for zone in zones for name in watchers(zone)], fault
            )
            await assert_change_in_force(cluster, 2)
            follower = relay_order(n for n in NAMES if ZONES[n] == "three")[-1]
            await assert_drain_known(cluster, follower)
            await assert_change_in_force(cluster, 3)

    run(scenario)


@pytest.mark.parametrize("fault", FAULTS)
def test_changes_reach_all_daemons_through_a_single_watcher(fault):
    async def scenario():
        async with three_zone_fleet() as cluster:
            await wait_until_watching(cluster)
            await shut_doors(cluster, set(NAMES) - {watchers("two")[1]}, fault)
            await assert_change_in_force(cluster, 2)

    run(scenario)


def test_changes_arrive_while_the_watchers_of_a_zone_stop_one_by_one():
    async def scenario():
        async with three_zone_fleet() as cluster:
            await wait_until_watching(cluster)
            first, second = watchers("one")
            await cluster.stop(first)
            await assert_change_in_force(cluster, 2)
            await cluster.stop(second)
            await assert_change_in_force(cluster, 3)
            await asyncio.gather(cluster.start(first), cluster.start(second))
            await assert_change_in_force(cluster, 4)

    run(scenario)
