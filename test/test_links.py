"""The links of the soak, whose faults must strike what they name and nothing else."""

import asyncio
from contextlib import asynccontextmanager
from math import inf

import pytest

from standins.cluster import HOST, Cluster, Plan, eventually
from standins.link import ThrottledLink
from test.helper import run

CONTROL_SETTINGS = "[control]\nwatch = 1s\nlist-watch = 1s\n"
SOURCE, OTHER_SOURCE = "127.0.0.2", "127.0.0.3"


@asynccontextmanager
async def echo_link():
    """A link to a server that sends back what it gets."""

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, HOST, 0)
    link = ThrottledLink(HOST, server.sockets[0].getsockname()[1], inf)
    await link.open()
    try:
        yield link
    finally:
        await link.close()
        server.close()


async def connect(link, source):
    return await asyncio.open_connection(HOST, link.port, local_addr=(source, 0))


async def is_echoed(connection, data=b"x"):
    reader, writer = connection
    writer.write(data)
    try:
        async with asyncio.timeout(0.2):
            return await reader.read(100) == data
    except TimeoutError:
        return False


def test_a_blocked_source_is_cut_off_on_open_and_new_connections_and_others_are_not():
    """Guards against a partition of one daemon that lets it through or cuts off others too."""

    async def scenario():
        async with echo_link() as link:
            cut, kept = await connect(link, SOURCE), await connect(link, OTHER_SOURCE)
            assert await is_echoed(cut) and await is_echoed(kept)
            link.block_source(SOURCE)
            new = await connect(link, SOURCE)
            assert not await is_echoed(cut) and not await is_echoed(new)
            assert await is_echoed(kept) and await is_echoed(await connect(link, OTHER_SOURCE))
            assert link.withheld_by_source == {SOURCE: 2}
            link.unblock_source(SOURCE)
            assert await is_echoed(await connect(link, SOURCE))
            assert not await is_echoed(cut)
            link.block_source(SOURCE)
            assert not await is_echoed(await connect(link, SOURCE))

    run(scenario)


REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"


async def answers(port, data, source):
    """Whether a new connection from an address gets bytes from a port."""
    reader, writer = await asyncio.open_connection(HOST, port, local_addr=(source, 0))
    writer.write(data)
    try:
        async with asyncio.timeout(1.0):
            return bool(await reader.read(100))
    except TimeoutError:
        return False
    finally:
        writer.transport.abort()


async def reached(cluster, name, source=HOST):
    """The ports of a daemon that answer connections from an address."""
    instance = cluster.members[name].instance
    ports = {
        "entry": (instance.entry_port, REQUEST),
        "peer": (instance.peer_port, REQUEST),
        "control": (instance.control_port, HTTP2_PREFACE),
    }
    return {key for key, (port, data) in ports.items() if await answers(port, data, source)}


@pytest.mark.parametrize(
    ("fault", "still_reached"), [("isolate", set()), ("cut_off_control", {"entry", "peer"})]
)
def test_a_daemon_is_cut_off_both_ways_on_what_the_fault_names(fault, still_reached, tmp_path):
    """Guards against a fault of the soak that leaves one of the daemon's ways open, and against
    one that cuts more than it should.
    """
    ports = {"entry", "peer", "control"}

    async def scenario():
        cluster = Cluster(tmp_path, CONTROL_SETTINGS, has_request_links=True)
        await cluster.open()
        try:
            await cluster.add([Plan(name, "papers", "one") for name in "abc"])
            await cluster.wait_for_members(3)
            source = cluster.source("b")
            withheld = cluster.withheld_by_port("b")["platform"]
            getattr(cluster, fault)("b")
            assert await reached(cluster, "b") == still_reached
            assert await reached(cluster, "a", source) == still_reached
            assert await reached(cluster, "a") == ports

            async def is_platform_cut_off():
                return cluster.withheld_by_port("b")["platform"] > withheld

            await eventually(is_platform_cut_off)
            # A daemon that starts meanwhile is cut off from it too.
            await cluster.members["c"].daemon.end()
            await cluster.refuse_connections("c")
            await cluster.restart_daemon(cluster.members["c"])
            assert await reached(cluster, "c", source) == still_reached
            assert await reached(cluster, "c") == ports
            cluster.reconnect("b")
            assert await reached(cluster, "b") == ports
            assert await reached(cluster, "a", source) == ports
            assert await reached(cluster, "c", source) == ports
        finally:
            codes = await cluster.close()
        assert not any(codes)

    run(scenario)


def test_the_connections_of_a_daemon_come_from_its_own_address(tmp_path):
    """Guards against a daemon that the links cannot tell from others."""

    async def scenario():
        cluster = Cluster(tmp_path, CONTROL_SETTINGS, has_request_links=True)
        await cluster.open()
        try:
            await cluster.add([Plan(name, "papers", "one") for name in "ab"])
            await cluster.wait_for_members(2)
            assert cluster.source("a") != cluster.source("b")
            cluster.isolate("a")

            async def is_withheld():
                # What a sends to b's control port, and the other way round.
                return cluster.source("a") in cluster.withheld_sources("b") and (
                    cluster.source("b") in cluster.withheld_sources("a")
                )

            await eventually(is_withheld)
        finally:
            await cluster.close()

    run(scenario)
