"""Hundreds of callers at a daemon that has just said that it is ready."""

import asyncio
import time

import pytest
from wheatslipd.daemon import Daemon

from standins.cluster import HOST, eventually
from test.helper import run
from test.routed_fleet import fleet

CALLERS = 300
REQUEST = b"GET /view/1 HTTP/1.1\r\nHost: papers.example\r\nConnection: close\r\n\r\n"
CONTACT_SECONDS = 4.0  # in which one that is ready takes a new connection; the users' bound


async def call_once(port):
    """The first line of the answer on a new connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(REQUEST)
    line = await reader.readline()
    writer.close()
    return line


@pytest.mark.parametrize("stall", [0.0, 0.4])
def test_a_daemon_that_is_ready_takes_new_connections_while_hundreds_try(monkeypatch, stall):
    """After a new start, with the callers of before all back at once.

    With `stall` the daemon stands still for so long, as loading the pages takes on a busy
    machine. Its question to the server ran out of time meanwhile, and it was ready and refused
    all callers for a pause more before it asked again.
    """
    start_pages = Daemon._start_pages

    async def start_pages_slowly(daemon):
        await asyncio.sleep(0)
        time.sleep(stall)
        return await start_pages(daemon)

    monkeypatch.setattr(Daemon, "_start_pages", start_pages_slowly)

    async def scenario():
        async with fleet("a") as one:
            await one.beat("a", 1)
            await one.stop("a")
            await one.start("a")
            daemon = one.daemons["a"]

            async def is_ready():
                return daemon.status().ready

            await eventually(is_ready)
            port = daemon.entry_server.port
            async with asyncio.timeout(CONTACT_SECONDS):
                lines = await asyncio.gather(*(call_once(port) for _ in range(CALLERS)))
            statuses = {line.split()[1] for line in lines}
            assert statuses <= {b"200", b"503"} and b"200" in statuses

    run(scenario)
