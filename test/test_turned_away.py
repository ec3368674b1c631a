"""News reach each zone, whichever daemons the platform turns away.

What happened: the platform reset the connections of a third of the machines, both readers of
one zone among them. A change of routes was in force in the other zones and unknown in this one
for 4.5 s, until the platform took its readers back: they stayed connected to their followers,
who had no reason to leave them, and no reader heard of another zone's.
"""

import asyncio

import pytest
from wheatslip.distribution.relaytree import WATCHERS, relay_order

from fleet_standins.store import Fault
from standins.cluster import eventually
from test.helper import run
from test.routed_fleet import configuration, fleet

AWAY = (Fault.BUSY, Fault.TOO_MANY, Fault.RESET, Fault.SILENT)
IN_FORCE_SECONDS = 2.0
NAMES = "abcdefghi"
ZONES = dict(zip(NAMES, ("one", "two", "three") * 3, strict=True))


def readers(zone):
    """The daemons that read the platform for a zone, the first one first."""
    return relay_order(name for name in NAMES if ZONES[name] == zone)[:WATCHERS]


def zones_fleet():
    return fleet(*NAMES, watch="20s", watch_check="500ms", has_doors=True, zones=ZONES)


async def all_readers_watch(one):
    """Wait until each reader has its watches at the store."""

    async def made():
        waiting = [c for c in one.store.calls if "wait_ms=20000" in c and "instances" not in c]
        return len(waiting) >= 3 * WATCHERS

    await eventually(made)


async def shut_out(one, names, fault):
    """Turn daemons away; what they ask from now on, and what waits, fails."""
    for name in names:
        one.doors[name].block(fault)

    async def nothing_passes():
        return all(one.doors[name].calls_in_flight == 0 for name in names)

    await eventually(nothing_passes)


async def change_arrives(one, version):
    """A change of the configuration is in force at each daemon in time."""
    one.store.write("config", "main", configuration(version))

    async def in_force():
        return all(d.status().version == version for d in one.daemons.values())

    async with asyncio.timeout(IN_FORCE_SECONDS):
        await eventually(in_force)


async def drain_arrives(one, name):
    """Each daemon knows in time that a server leaves."""
    assert await one.beat(name, 1) == 200
    assert await one.beat(name, 2, "draining") == 200

    async def known():
        listed = [d.feed.cache.instances[name] for d in one.daemons.values()]
        return all(instance.state == "leaving" for instance in listed)

    async with asyncio.timeout(IN_FORCE_SECONDS):
        await eventually(known)


@pytest.mark.parametrize("fault", AWAY)
@pytest.mark.parametrize("zones", [("one",), ("one", "two")])
def test_zones_whose_readers_are_turned_away_hear_from_the_next(zones, fault):
    async def scenario():
        async with zones_fleet() as one:
            await all_readers_watch(one)
            await shut_out(one, [name for zone in zones for name in readers(zone)], fault)
            await change_arrives(one, 2)
            follower = relay_order(n for n in NAMES if ZONES[n] == "three")[-1]
            await drain_arrives(one, follower)
            await change_arrives(one, 3)

    run(scenario)


@pytest.mark.parametrize("fault", AWAY)
def test_one_reader_that_is_let_in_brings_the_news_to_all(fault):
    async def scenario():
        async with zones_fleet() as one:
            await all_readers_watch(one)
            await shut_out(one, set(NAMES) - {readers("two")[1]}, fault)
            await change_arrives(one, 2)

    run(scenario)


def test_news_arrive_while_the_readers_of_a_zone_stop_one_after_the_other():
    async def scenario():
        async with zones_fleet() as one:
            await all_readers_watch(one)
            first, second = readers("one")
            await one.stop(first)
            await change_arrives(one, 2)
            await one.stop(second)
            await change_arrives(one, 3)
            await asyncio.gather(one.start(first), one.start(second))
            await change_arrives(one, 4)

    run(scenario)
