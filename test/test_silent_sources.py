"""A change is in force in time, whichever single source of news goes quiet without an error.

What happened: a change that the platform had acknowledged was still unknown to one daemon 3.4 s
later. It had just become a reader, on a link that was full.

Connections that go silent stay open: neither end sees an error, and new ones work.
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
from test.helper import run
from test.routed_fleet import configuration, fleet

IN_FORCE_SECONDS = 2.0  # from the write
# From the moment at which all connections go silent: until then no daemon is in touch.
IN_TOUCH_SECONDS = 3.0
NAMES = "abcdefghijkl"
ZONES = dict(zip(NAMES, ("one", "two") * 6, strict=True))
LONG = 1400  # routes of a long configuration
SIZE = 260_000  # bytes, of a configuration with so many
LINK = 200_000  # bytes a second: that configuration takes 1.3 s


def order(zone):
    return relay_order(name for name in NAMES if ZONES[name] == zone)


def silent_fleet(**options):
    options.setdefault("link_bytes", dict.fromkeys(NAMES, inf))
    return fleet(
        *NAMES,
        watch="20s",
        watch_check="1s",
        zones=ZONES,
        has_control_links=True,
        **options,
    )


async def settled(one):
    """Wait until each reader has its watch at the store and each daemon follows one."""

    async def follows():
        readers = WATCHERS * len(set(ZONES.values()))
        return one.store.waiting["config"] >= readers and all(
            daemon.feed.parent for daemon in one.daemons.values()
        )

    await eventually(follows)


async def change_arrives(one, version, seconds=IN_FORCE_SECONDS, **options):
    one.store.write("config", "main", configuration(version, **options))

    async def in_force():
        return all(d.status().version == version for d in one.daemons.values())

    try:
        async with asyncio.timeout(seconds):
            await eventually(in_force)
    except TimeoutError:
        late = [n for n, d in one.daemons.items() if d.status().version != version]
        raise AssertionError(f"late at {late}") from None


def parents(one):
    """The daemons that others follow, those with most followers first."""
    followed = Counter(daemon.feed.parent for daemon in one.daemons.values())
    return [name for name, _ in followed.most_common()]


@pytest.mark.parametrize("rank", [0, 1, 2])
def test_a_parent_whose_streams_go_silent(rank):
    async def scenario():
        async with silent_fleet() as one:
            await settled(one)
            one.control_links[parents(one)[rank]].silence()
            await change_arrives(one, 2)

    run(scenario)


@pytest.mark.parametrize("rank", [0, 1, 2])
def test_a_parent_that_leaves(rank):
    """Its streams stayed open and said nothing until its process and its machine were gone."""

    async def scenario():
        async with silent_fleet() as one:
            await settled(one)
            await one.stop(parents(one)[rank])
            await change_arrives(one, 2)

    run(scenario)


@pytest.mark.parametrize("place", [0, 1])
def test_a_reader_whose_connections_to_the_platform_go_silent(place):
    async def scenario():
        async with silent_fleet() as one:
            await settled(one)
            one.links[order("one")[place]].silence()
            await change_arrives(one, 2)
            await change_arrives(one, 3)

    run(scenario)


@pytest.mark.parametrize("before", [0.0, 1.5, 3.0])
def test_all_connections_go_silent(before):
    """`before`: seconds from the silence to the change."""

    async def scenario():
        async with silent_fleet() as one:
            await settled(one)
            for link in (*one.links.values(), *one.control_links.values()):
                link.silence()
            await asyncio.sleep(before)
            await change_arrives(one, 2, max(IN_TOUCH_SECONDS - before, IN_FORCE_SECONDS))

    run(scenario)


def test_the_only_reader_whose_watch_goes_silent_has_a_long_configuration():
    async def scenario():
        links = {"a": LINK * 10}  # the configuration takes 0.13 s
        async with fleet("a", watch="20s", watch_check="1s", link_bytes=links) as one:
            one.store.write("config", "main", configuration(2, more=LONG))
            await one.ready(2)
            await asyncio.sleep(1.5)
            one.links["a"].silence()
            await change_arrives(one, 3, IN_TOUCH_SECONDS, more=LONG)

    run(scenario)


def test_a_daemon_that_becomes_a_reader_again_reads_what_it_has_from_its_parent():
    """It began its watch where its own last read was, and read all changes since."""

    async def scenario():
        _, second, third = order("one")[:3]
        links = dict.fromkeys(NAMES, inf) | {third: LINK}
        async with silent_fleet(link_bytes=links) as one:
            await settled(one)
            one.store.write("config", "main", configuration(2, more=LONG))
            await one.ready(2)
            read = one.links[third].bytes_from_target
            server = one.backends[second].server_id
            assert await one.beat(second, 1, "draining", server) == 200
            await one.stop(second)
            reader = one.daemons[third]

            async def watches():
                return reader.feed.is_watcher and one.store.waiting["config"] >= 2 * WATCHERS

            await eventually(watches)
            await change_arrives(one, 3, prefix="/other/", more=LONG)
            await asyncio.sleep(IN_FORCE_SECONDS)
            # The new version, once.
            assert one.links[third].bytes_from_target - read < 1.5 * SIZE

    run(scenario)


class ParentOfTheVersionBefore:
    """Sends an update each so many seconds, and does not say so."""

    def __init__(self, seconds):
        self._seconds = seconds

    def __mapping__(self):
        stream = grpclib.const.Cardinality.UNARY_STREAM
        return {FOLLOW_METHOD: grpclib.const.Handler(self._follow, stream, Cursor, Chunk)}

    async def _follow(self, stream):
        await stream.recv_message()
        for number in itertools.count(1):
            for chunk in split_message(msgspec.msgpack.encode(Update(float(number)))):
                await stream.send_message(chunk)
            await asyncio.sleep(self._seconds)


def test_a_parent_of_the_version_before_is_not_left_between_its_heartbeats():
    async def scenario():
        server = Server([ParentOfTheVersionBefore(1.6)], codec=StructCodec())
        await server.start(HOST, 0)
        port = server._server.sockets[0].getsockname()[1]
        parent = Instance("parent", "papers", "one", HOST, 1, 2, port)
        async with aclosing(follow_parent(parent, Cursor("child"), PeerTls())) as updates:
            assert [(await anext(updates)).as_of for _ in range(3)] == [1.0, 2.0, 3.0]
        server.close()
        await server.wait_closed()

    run(scenario)
