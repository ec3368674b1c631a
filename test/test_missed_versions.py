"""Configurations that were written while the readers of the store heard nothing of it."""

import asyncio

import pytest
from wheatslip.config.head import BUNDLE_KIND

from fleet_adapter.configuration import MAX_CACHED_BUNDLES
from fleet_standins.store import Fault
from standins.cluster import eventually
from test.helper import run
from test.routed_fleet import configuration, fleet

MISSED = MAX_CACHED_BUNDLES + 9
# Within which a daemon that reaches the store again has the newest configuration in force.
IN_FORCE_SECONDS = 5.0


def write(store, number, extra_routes):
    """Write a version; they climb in uneven steps."""
    version = 1 + 3 * number
    prefix = f"/view-{number}/"
    store.write("config", "main", configuration(version, prefix, extra_routes))
    return version


@pytest.mark.parametrize("extra_routes", [0, 350])  # below and above `SMALL_BUNDLE_BYTES`
@pytest.mark.parametrize("names", ["a", "abc"])
def test_the_newest_of_many_missed_versions_is_in_force_soon(names, extra_routes):
    """Guards against a reader that asks for a bundle which nobody has any more."""

    async def scenario():
        async with fleet(*names, watch_check="200ms") as installation:
            write(installation.store, 1, extra_routes)
            await installation.ready(version=4)
            installation.store.fault = Fault.BUSY
            await asyncio.sleep(0.5)
            for number in range(2, MISSED + 2):
                newest = write(installation.store, number, extra_routes)
            await asyncio.sleep(0.5)
            installation.store.fault = Fault.NONE

            async def is_in_force():
                return all(d.view.version == newest for d in installation.daemons.values())

            async with asyncio.timeout(IN_FORCE_SECONDS):
                await eventually(is_in_force)
            for name in names:
                path = f"/view-{MISSED + 1}/x"
                assert (await installation.send_request(name, path))[0] == 200

    run(scenario)


def test_a_head_whose_bundle_is_missing_gives_way_to_a_newer_head():
    """Guards against a reader that waits for the bundle of a head that was replaced."""

    async def scenario():
        async with fleet("a") as installation:
            daemon = installation.daemons["a"]
            store = daemon.feed.client
            get = store.get
            missing = set()

            async def get_without_missing(kind, name, **options):
                if kind == BUNDLE_KIND and any(one in name for one in missing):
                    return (await get(kind, "no such bundle")).map(lambda _: None)
                return await get(kind, name, **options)

            store.get = get_without_missing
            missing.add(f"v{4:012d}")
            write(installation.store, 1, 0)
            await asyncio.sleep(0.3)
            assert daemon.view.version == 1
            newest = write(installation.store, 2, 0)

            async def is_in_force():
                return daemon.view.version == newest

            async with asyncio.timeout(IN_FORCE_SECONDS):
                await eventually(is_in_force)

    run(scenario)
