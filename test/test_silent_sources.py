"""A configuration change is in force in time although one of its sources falls silent.

Silent connections stay open: neither end sees an error, and new connections work. Guards
against a change that reaches a daemon late after the platform has acknowledged it.
"""

import asyncio
import itertools
from collections import Counter
from contextlib import aclosing
from math import inf

import grpclib.const
import msgspec
import pytest
from grpclib.server import Server
from wheatslip.distribution.chunks import Chunk, split_message
from wheatslip.distribution.feedcache import Cursor, Update
from wheatslip.distribution.relaytree import WATCHERS, relay_order
from wheatslip.store.instances import Instance
from wheatslipd.feed.codec import StructCodec
from wheatslipd.feed.relay import FOLLOW_METHOD, follow_parent
from wheatslipd.tls import PeerTls

from standins.cluster import HOST, eventually
from test.helper import describe_lag, measured_lag, run
from test.routed_fleet import configuration, fleet

IN_FORCE_SECONDS = 2.0  # from the write
RECONNECT_SECONDS = 3.0  # from the moment at which all connections fall silent
NAMES = "abcdefghijkl"
ZONES = dict(zip(NAMES, ("one", "two") * 6, strict=True))
EXTRA_ROUTES = 1400  # in a large configuration
CONFIGURATION_BYTES = 260_000  # size of a configuration with EXTRA_ROUTES
LINK_BYTES_PER_SECOND = 200_000  # a large configuration takes 1.3 s


def zone_order(zone):
    return relay_order(name for name in NAMES if ZONES[name] == zone)


def fleet_with_links(**options):
    options.setdefault("link_bytes_per_second", dict.fromkeys(NAMES, inf))
    return fleet(
        *NAMES,
        watch="20s",
        watch_check="1s",
        zones=ZONES,
        has_control_links=True,
        **options,
    )


async def wait_until_connected(cluster):
    """Wait until each watcher watches the store and each daemon follows a parent."""

    async def is_connected():
        watchers = WATCHERS * len(set(ZONES.values()))
        return cluster.store.waiting["config"] >= watchers and all(
            daemon.feed.parent for daemon in cluster.daemons.values()
        )

    await eventually(is_connected)


async def assert_change_in_force(cluster, version, seconds=IN_FORCE_SECONDS, **options):
    """A failure says whom the late daemons follow, and how long the event loop was held up."""
    cluster.store.write("config", "main", configuration(version, **options))

    async def in_force():
        return all(d.status().version == version for d in cluster.daemons.values())

    with measured_lag() as lags:
        try:
            async with asyncio.timeout(seconds):
                await eventually(in_force)
        except TimeoutError:
            late = {n: d for n, d in cluster.daemons.items() if d.status().version != version}
            raise AssertionError(
                f"version {version} is not in force at {list(late)} after {seconds} s; they "
                f"follow {[d.feed.parent for d in late.values()]}; {describe_lag(lags)}"
            ) from None


def parents(cluster):
    """The daemons that have followers, the one with the most first."""
    followers = Counter(daemon.feed.parent for daemon in cluster.daemons.values())
    return [name for name, _ in followers.most_common()]


@pytest.mark.parametrize("rank", [0, 1, 2])
def test_a_change_arrives_although_a_parents_streams_fall_silent(rank):
    async def scenario():
        async with fleet_with_links() as cluster:
            await wait_until_connected(cluster)
            cluster.control_links[parents(cluster)[rank]].silence()
            await assert_change_in_force(cluster, 2)

    run(scenario)


@pytest.mark.parametrize("rank", [0, 1, 2])
def test_a_change_arrives_although_a_parent_stops(rank):
    """Guards against a stopping parent that keeps its streams open without sending updates."""

    async def scenario():
        async with fleet_with_links() as cluster:
            await wait_until_connected(cluster)
            await cluster.stop(parents(cluster)[rank])
            await assert_change_in_force(cluster, 2)

    run(scenario)


@pytest.mark.parametrize("position", [0, 1])
def test_changes_arrive_although_a_watchers_platform_connections_fall_silent(position):
    async def scenario():
        async with fleet_with_links() as cluster:
            await wait_until_connected(cluster)
            cluster.links[zone_order("one")[position]].silence()
            await assert_change_in_force(cluster, 2)
            await assert_change_in_force(cluster, 3)

    run(scenario)


@pytest.mark.parametrize("delay", [0.0, 1.5, 3.0])
def test_a_change_arrives_although_all_connections_fall_silent(delay):
    """`delay` is the time in seconds from the silence to the change."""

    async def scenario():
        async with fleet_with_links() as cluster:
            await wait_until_connected(cluster)
            for link in (*cluster.links.values(), *cluster.control_links.values()):
                link.silence()
            await asyncio.sleep(delay)
            await assert_change_in_force(
                cluster, 2, max(RECONNECT_SECONDS - delay, IN_FORCE_SECONDS)
            )

    run(scenario)


def test_a_large_change_arrives_at_a_single_watcher_whose_watch_falls_silent():
    async def scenario():
        links = {"a": LINK_BYTES_PER_SECOND * 10}  # the configuration takes 0.13 s
        async with fleet(
            "a", watch="20s", watch_check="1s", link_bytes_per_second=links
        ) as cluster:
            cluster.store.write("config", "main", configuration(2, extra_routes=EXTRA_ROUTES))
            await cluster.ready(2)
            await asyncio.sleep(1.5)
            cluster.links["a"].silence()
            await assert_change_in_force(
                cluster, 3, RECONNECT_SECONDS, extra_routes=EXTRA_ROUTES
            )

    run(scenario)


def test_a_daemon_that_becomes_a_watcher_again_does_not_read_what_its_parent_sent():
    """Guards against a watch that starts at the daemon's own last read."""

    async def scenario():
        _, second, third = zone_order("one")[:3]
        links = dict.fromkeys(NAMES, inf) | {third: LINK_BYTES_PER_SECOND}
        async with fleet_with_links(link_bytes_per_second=links) as cluster:
            await wait_until_connected(cluster)
            cluster.store.write("config", "main", configuration(2, extra_routes=EXTRA_ROUTES))
            await cluster.ready(2)
            carried_before = cluster.links[third].bytes_from_target
            server = cluster.backends[second].server_id
            assert await cluster.send_heartbeat(second, 1, "draining", server) == 200
            await cluster.stop(second)
            new_watcher = cluster.daemons[third]

            async def is_watching():
                return (
                    new_watcher.feed.is_watcher
                    and cluster.store.waiting["config"] >= 2 * WATCHERS
                )

            await eventually(is_watching)
            await assert_change_in_force(
                cluster, 3, prefix="/other/", extra_routes=EXTRA_ROUTES
            )
            await asyncio.sleep(IN_FORCE_SECONDS)
            # The daemon reads only the new version, and once.
            assert (
                cluster.links[third].bytes_from_target - carried_before
                < 1.5 * CONFIGURATION_BYTES
            )

    run(scenario)


class PreviousVersionParent:
    """A parent of the previous version, which does not send its heartbeat interval."""

    def __init__(self, heartbeat_seconds):
        self._heartbeat_seconds = heartbeat_seconds

    def __mapping__(self):
        stream = grpclib.const.Cardinality.UNARY_STREAM
        return {FOLLOW_METHOD: grpclib.const.Handler(self._follow, stream, Cursor, Chunk)}

    async def _follow(self, stream):
        await stream.recv_message()
        for number in itertools.count(1):
            for chunk in split_message(msgspec.msgpack.encode(Update(float(number)))):
                await stream.send_message(chunk)
            await asyncio.sleep(self._heartbeat_seconds)


def test_a_parent_of_the_previous_version_does_not_time_out_between_its_heartbeats():
    async def scenario():
        server = Server([PreviousVersionParent(1.6)], codec=StructCodec())
        await server.start(HOST, 0)
        port = server._server.sockets[0].getsockname()[1]
        parent = Instance("parent", "papers", "one", HOST, 1, 2, port)
        async with aclosing(follow_parent(parent, Cursor("child"), PeerTls())) as updates:
            assert [(await anext(updates)).as_of for _ in range(3)] == [1.0, 2.0, 3.0]
        server.close()
        await server.wait_closed()

    run(scenario)
