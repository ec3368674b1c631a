"""A limit that passes to another primary, between daemons."""

import asyncio

from wheatslip.quota.candidates import Candidates
from wheatslip.store.instances import InstanceState

from standins.backend import Behaviour
from test.helper import run
from test.quota_fleet import NAMES, answered, quota_fleet, refused, until

RATE, BURST = 50.0, 0.0
DEMAND = 0.8  # of the limit
MAX_REFUSED_SHARE = 0.005


def order_of(names):
    candidates = Candidates(len(names))
    candidates.set_members(names)
    return candidates.of("alpha")


def test_nothing_below_the_limit_is_refused_when_a_new_primary_joins(tmp_path):
    """Guards against a new primary that grants less than the former one did."""

    async def scenario():
        new, *others = order_of(NAMES)
        async with quota_fleet(tmp_path, RATE, BURST, names=tuple(others)) as fleet:
            fleet.settle()
            load = asyncio.create_task(
                fleet.send_paced(tuple(others), DEMAND * RATE, int(DEMAND * RATE * 8))
            )
            await until(lambda: fleet.use(others[1]).owner == others[0])
            await fleet.installation.add(new, Behaviour(slots=50, service=0.001))
            await until(lambda: fleet.use(others[1]).owner == new)
            requests = await load
            assert len(refused(requests)) <= MAX_REFUSED_SHARE * len(requests)
            assert len(answered(requests)) >= (1 - MAX_REFUSED_SHARE) * len(requests)
            # The new one grants by itself once the former one has yielded.
            assert fleet.granted(new) > 0
            assert fleet.logged("quota-owner", workspace="alpha", daemon=new)

    run(scenario)


def test_nothing_below_the_limit_is_refused_when_a_primary_leaves(tmp_path):
    """Guards against a successor that settles, or grants from the margin."""

    async def scenario():
        async with quota_fleet(tmp_path, RATE, BURST) as fleet:
            fleet.settle()
            primary, second, entry = fleet.candidates()
            load = asyncio.create_task(
                fleet.send_paced((second, entry), DEMAND * RATE, int(DEMAND * RATE * 8))
            )
            await until(lambda: fleet.use(entry).owner == primary)
            node = fleet.node(primary)
            await fleet.installation.list_instance(node, InstanceState.LEAVING)
            await until(lambda: fleet.use(entry).owner == second)
            requests = await load
            assert len(refused(requests)) <= MAX_REFUSED_SHARE * len(requests)
            assert fleet.granted(second) > 0

    run(scenario)
