"""A configuration that daemons cannot work with is refused; none of them ends of it.

What happened: a pool's cold rate of 1e308 requests a second came from the platform. The handler
that applied it raised OverflowError, which stops the process; each daemon that took the
configuration ended, and read it again when it was started.
"""

import asyncio
import copy

import pytest
from wheatslip.config.bundle import Bundle, Workspace, decode_bundle

from standins.cluster import eventually
from test.helper import run
from test.routed_fleet import configuration, fleet

COLD = {"cold_start_s": 5}
REFUSED = {
    "a rate beyond all numbers": ("services", "papers", COLD | {"cold_per_s": 1e308}),
    "a cold start beyond all clocks": (
        "services",
        "papers",
        COLD | {"cold_per_s": 1, "cold_start_s": 1e308},
    ),
    "a time limit beyond all clocks": ("routes", "view", {"timeout_s": 1e308}),
    "a negative time limit": ("routes", "view", {"timeout_s": -1}),
    "a negative weight": (
        "routes",
        "view",
        {"traffic_split": [{"service": "papers", "weight": -1}]},
    ),
    "a negative number of connections": ("services", "papers", {"max_connections": -1}),
}


def changed(table, name, fields, version):
    one = copy.deepcopy(configuration(version))
    one[table][name].update(fields)
    return one


@pytest.mark.parametrize("what", REFUSED)
def test_it_is_refused_and_the_one_before_stays_in_force(what):
    async def scenario():
        async with fleet("a") as one:
            one.store.write("config", "main", changed(*REFUSED[what], version=2))
            await asyncio.sleep(0.3)
            assert not one.tasks["a"].done()
            assert one.daemons["a"].status().version == 1
            assert (await one.send_request("a"))[0] == 200
            one.store.write("config", "main", configuration(3))
            await one.ready(3)

    run(scenario)


def test_parts_that_all_have_no_weight_get_equal_parts():
    async def scenario():
        async with fleet("a") as one:
            splits = [{"service": "papers", "weight": 0}, {"service": "none", "weight": 0}]
            written = changed("routes", "view", {"traffic_split": splits}, 2)
            one.store.write("config", "main", written)
            await one.ready(2)

            async def is_served():
                return (await one.send_request("a"))[0] == 200

            await eventually(is_served)
            assert {(await one.send_request("a"))[0] for _ in range(30)} == {200, 503}

    run(scenario)


@pytest.mark.parametrize("share", [0.0, -1.0, 1e308])
def test_a_signed_bundle_with_such_numbers_is_no_bundle(share):
    bundle = Bundle(1, workspaces=(Workspace("alpha", "", share),))
    assert decode_bundle(bundle.canonical()).is_err()
