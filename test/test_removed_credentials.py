"""How soon daemons refuse a removed credential while the store turns some of them away."""

import asyncio
import time

import pytest

from fleet_standins.store import Fault
from standins.cluster import eventually
from test.helper import run
from test.test_identity import KEY, NEW_KEY, OTHER_KEY, guarded_fleet, tenants_configuration

ZONES = {
    name: zone for zone in ("one", "two", "three") for name in (f"{zone}-{n}" for n in "abc")
}
TURNED_AWAY = [name for name in ZONES if name.endswith("a")]  # one of the watchers of each zone
MAX_SECONDS = 2.5  # from the acknowledgement of a configuration to its use by all daemons


async def status_of(cluster, name, key):
    status, _, _ = await cluster.send_request(name, "/view/1", Key=key)
    return status


async def seconds_until(cluster, name, key, expected, since):
    """Seconds from `since` until a daemon answers requests with a key by `expected`."""
    while await status_of(cluster, name, key) != expected:
        await asyncio.sleep(0.02)
    return time.monotonic() - since


@pytest.mark.parametrize("fault", [Fault.SILENT, Fault.RESET, Fault.BUSY])
def test_a_removed_credential_is_refused_in_time_while_a_third_is_turned_away(fault):
    """Guards against daemons that hear of a removed or an added key only from the store."""

    async def scenario():
        async with guarded_fleet(
            *ZONES, zones=ZONES, has_doors=True, watch="20s", watch_check="1s"
        ) as cluster:

            async def serves_all():
                return {await status_of(cluster, name, KEY) for name in ZONES} == {200}

            await eventually(serves_all)
            for name in TURNED_AWAY:
                cluster.doors[name].block(fault)
            calls = {name: cluster.doors[name].refused_calls for name in TURNED_AWAY}
            new = tenants_configuration(2, alpha=[OTHER_KEY], beta=[NEW_KEY])
            cluster.store.write("config", "main", new)
            written_at = time.monotonic()
            async with asyncio.timeout(20.0):
                times = await asyncio.gather(
                    *(seconds_until(cluster, n, KEY, 401, written_at) for n in ZONES),
                    *(seconds_until(cluster, n, NEW_KEY, 200, written_at) for n in ZONES),
                )
            assert all(cluster.doors[n].refused_calls > calls[n] for n in TURNED_AWAY)
            assert max(times) <= MAX_SECONDS

    run(scenario)
