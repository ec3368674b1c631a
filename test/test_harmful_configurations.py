"""A configuration with a value out of range is refused and must not end the daemon.

Without the check, a rate such as 1e308 requests a second would raise OverflowError where it is
applied and stop every daemon that reads the configuration, again after each restart.
"""

import asyncio
import copy

import pytest
from wheatslip.config.bundle import Bundle, Workspace, decode_bundle

from standins.cluster import eventually
from test.helper import run
from test.routed_fleet import configuration, fleet

COLD_START = {"cold_start_s": 5}
INVALID_CHANGES = {
    "cold rate out of range": ("services", "papers", COLD_START | {"cold_per_s": 1e308}),
    "cold start time out of range": (
        "services",
        "papers",
        COLD_START | {"cold_per_s": 1, "cold_start_s": 1e308},
    ),
    "time limit out of range": ("routes", "view", {"timeout_s": 1e308}),
    "negative time limit": ("routes", "view", {"timeout_s": -1}),
    "negative weight": (
        "routes",
        "view",
        {"traffic_split": [{"service": "papers", "weight": -1}]},
    ),
    "negative number of connections": ("services", "papers", {"max_connections": -1}),
}


def changed_configuration(table, name, fields, version):
    config = copy.deepcopy(configuration(version))
    config[table][name].update(fields)
    return config


@pytest.mark.parametrize("case", INVALID_CHANGES)
def test_invalid_configuration_is_refused_and_the_previous_one_stays(case):
    async def scenario():
        async with fleet("a") as cluster:
            cluster.store.write(
                "config", "main", changed_configuration(*INVALID_CHANGES[case], version=2)
            )
            await asyncio.sleep(0.3)
            assert not cluster.tasks["a"].done()
            assert cluster.daemons["a"].status().version == 1
            assert (await cluster.send_request("a"))[0] == 200
            cluster.store.write("config", "main", configuration(3))
            await cluster.ready(3)

    run(scenario)


def test_splits_without_any_weight_get_equal_shares():
    async def scenario():
        async with fleet("a") as cluster:
            splits = [{"service": "papers", "weight": 0}, {"service": "none", "weight": 0}]
            config = changed_configuration("routes", "view", {"traffic_split": splits}, 2)
            cluster.store.write("config", "main", config)
            await cluster.ready(2)

            async def is_served():
                return (await cluster.send_request("a"))[0] == 200

            await eventually(is_served)
            assert {(await cluster.send_request("a"))[0] for _ in range(30)} == {200, 503}

    run(scenario)


@pytest.mark.parametrize("share", [0.0, -1.0, 1e308])
def test_bundle_with_a_share_out_of_range_is_rejected(share):
    bundle = Bundle(1, workspaces=(Workspace("alpha", "", share),))
    assert decode_bundle(bundle.canonical()).is_err()
