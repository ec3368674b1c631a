"""Callers that close their connection: at whatever moment, half a second later nothing more of
their requests reaches a backend server, and what ran there is broken off.
"""

import asyncio

import pytest

from standins.cluster import HOST, eventually
from standins.plainbackend import ServerFault
from test.helper import run
from test.routed_fleet import fleet

GONE_SECONDS = 0.5  # within which a caller's leaving is felt everywhere; the users' bound
VIEW = b"GET /view/1 HTTP/1.1\r\nHost: papers.example\r\nRequest-Id: %s\r\n\r\n"
HALF_A_BODY = (
    b"POST /submit/1 HTTP/1.1\r\nHost: papers.example\r\nRequest-Id: %s\r\n"
    b"Content-Length: 10\r\n\r\nhalf"
)
SLOTS = 4  # of a backend server; see `Fleet.beat`


async def send(one, name, request, request_id):
    port = one.daemons[name].entry_server.port
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(request % request_id)
    return writer


def count(one, what):
    return sum(getattr(daemon.status(), what) for daemon in one.daemons.values())


async def reaches(one, what, number):
    async def reached():
        return count(one, what) == number

    async with asyncio.timeout(5.0):
        await eventually(reached)


async def is_left_alone(one, before):
    """Nothing arrives at the backend servers from now on."""
    await asyncio.sleep(GONE_SECONDS)
    assert sum(len(backend.received) for backend in one.backends.values()) == before


@pytest.mark.parametrize("names", ["a", "ab"])
def test_one_that_leaves_while_its_request_runs(names):
    """Also with the entry in one daemon and the backend server beside another."""

    async def scenario():
        async with fleet(*names) as one:
            for backend in one.backends.values():
                backend.fault = ServerFault.HANG
            writers = [await send(one, "a", VIEW, b"r-%d" % n) for n in range(SLOTS)]
            await reaches(one, "in_flight", SLOTS)
            for writer in writers:
                writer.transport.abort()
            async with asyncio.timeout(GONE_SECONDS):
                await reaches(one, "in_flight", 0)
            for backend in one.backends.values():
                assert backend.server.open_connections == 0

    run(scenario)


def test_one_that_leaves_while_its_request_waits_at_a_gate():
    async def scenario():
        async with fleet("a") as one:
            await one.beat("a", 1)
            backend = one.backends["a"]
            backend.fault = ServerFault.HANG
            running = [await send(one, "a", VIEW, b"r-%d" % n) for n in range(SLOTS)]
            await reaches(one, "in_flight", SLOTS)
            waiting = await send(one, "a", VIEW, b"waits")
            await reaches(one, "queued", 1)
            waiting.transport.abort()
            async with asyncio.timeout(GONE_SECONDS):
                await reaches(one, "queued", 0)
            for writer in running:
                writer.transport.abort()
            await is_left_alone(one, SLOTS)
            assert "waits" not in backend.run_request_ids

    run(scenario)


def test_one_that_leaves_while_its_body_is_on_its_way():
    async def scenario():
        async with fleet("a", "b") as one:
            writer = await send(one, "a", HALF_A_BODY, b"half")
            await asyncio.sleep(0.05)
            writer.transport.abort()
            await is_left_alone(one, 0)
            assert count(one, "in_flight") == 0

    run(scenario)


def test_one_that_leaves_between_two_tries():
    async def scenario():
        async with fleet("a", "b") as one:
            for backend in one.backends.values():
                backend.fault = ServerFault.RESET
                backend.service = 0.1  # the first try ends after the caller has left
            writer = await send(one, "a", VIEW, b"r-1")
            await reaches(one, "in_flight", 1)
            writer.transport.abort()
            await is_left_alone(one, 1)

    run(scenario)


def test_one_that_leaves_before_its_request_was_read():
    """It sends behind a request that still runs, on the same connection."""

    async def scenario():
        async with fleet("a") as one:
            backend = one.backends["a"]
            backend.service = 0.2
            writer = await send(one, "a", VIEW, b"first")
            writer.write(VIEW % b"second")
            await reaches(one, "in_flight", 1)
            writer.transport.abort()
            await is_left_alone(one, 1)
            assert backend.run_request_ids == ["first"]

    run(scenario)
