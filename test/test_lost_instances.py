"""Daemons that are removed from the list are noted at the platform, for those that start later.

Guards against a primary of a limit that grants beside the other side of a partition, because
all daemons on its own side have restarted at once.
"""

import asyncio

import msgspec
from wheatslip.store.instances import INSTANCE_KIND, LOST_KIND
from wheatslip.store.losses import StoredLosses
from wheatslip.upstream import DEAD_AFTER_SECONDS

from fleet_adapter.wire import KINDS
from standins.cluster import eventually
from test.helper import run
from test.routed_fleet import configuration, mark_dead
from test.test_identity import guarded_fleet
from test.test_quota_routes import limited_configuration

NAMES = ("a", "b", "c")


def limited_fleet(**options):
    options.setdefault("initial_configuration", limited_configuration())
    return guarded_fleet(*NAMES, has_doors=True, **options)


async def cut_off(cluster, name):
    """A daemon can't write its entry again."""
    await cluster.doors[name].server.stop(0.0)


async def remove(cluster, name, remover_name="a"):
    """A daemon removes the entry of another one, which it takes for dead."""
    daemon = cluster.daemons[remover_name]
    mark_dead(daemon, name)
    remover = daemon.local_backend.remover
    remover._rank = lambda zone: 0
    remover._clock = lambda: DEAD_AFTER_SECONDS + 1
    await remover.remove_dead()


def lost_at(cluster, name):
    return set(cluster.daemons[name].quota.granter.reach.lost)


def noted_by(cluster, name):
    """Names of the lost daemons in a daemon's object at the store."""
    stored = cluster.store.objects[KINDS[LOST_KIND], name]
    losses = msgspec.json.decode(stored.spec, type=StoredLosses).losses
    return {loss.instance.name for loss in losses}


def is_listed(cluster, name):
    return (KINDS[INSTANCE_KIND], name) in cluster.store.objects


def test_daemons_that_all_restart_at_once_know_of_a_lost_one():
    async def scenario():
        async with limited_fleet() as cluster:
            await cut_off(cluster, "c")
            cluster.store.calls.clear()
            await remove(cluster, "c")
            noted, removed = [call for call in cluster.store.calls if "wheatslip-" in call][:2]
            assert noted.startswith("POST") and KINDS[LOST_KIND] in noted
            assert removed.startswith("DELETE") and KINDS[INSTANCE_KIND] in removed
            assert not is_listed(cluster, "c")
            for name in "ab":
                await cluster.stop(name)
            await asyncio.gather(cluster.start("a"), cluster.start("b"))

            async def know():
                return all(lost_at(cluster, name) == {"c"} for name in "ab")

            await eventually(know)

    run(scenario)


def test_what_an_earlier_process_noted_is_kept():
    async def scenario():
        async with limited_fleet() as cluster:
            await cut_off(cluster, "c")
            await remove(cluster, "c")
            await cluster.stop("a")
            await cluster.start("a")
            await cut_off(cluster, "b")

            async def are_listed():
                peers = cluster.daemons["a"].view.membership.peers("papers")
                return {peer.instance.name for peer in peers} == {"a", "b"}

            await eventually(are_listed)
            await remove(cluster, "b")
            assert noted_by(cluster, "a") == {"b", "c"}

    run(scenario)


def test_an_entry_is_removed_only_after_it_was_noted():
    async def scenario():
        async with limited_fleet() as cluster:

            async def is_not_noted(instances, listed):
                return False

            await cut_off(cluster, "c")
            cluster.daemons["a"].local_backend.remover._note_lost = is_not_noted
            await remove(cluster, "c")
            assert is_listed(cluster, "c")

    run(scenario)


def test_without_limits_nothing_is_noted_or_read():
    """Guards against calls to the platform that nobody needs."""

    async def scenario():
        async with limited_fleet(initial_configuration=configuration()) as cluster:
            await cut_off(cluster, "c")
            await remove(cluster, "c")
            assert not is_listed(cluster, "c")
            assert not [call for call in cluster.store.calls if KINDS[LOST_KIND] in call]

    run(scenario)
