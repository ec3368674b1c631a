"""Callers that close their connection while their request is in progress.

Within half a second, whichever stage the request has reached, its runs on backend servers are
cancelled, and it is not sent to a backend server again.
"""

import asyncio

import pytest

from standins.cluster import HOST, eventually
from standins.plainbackend import ServerFault
from test.helper import run
from test.routed_fleet import fleet

CANCEL_SECONDS = 0.5  # limit set by users, from the caller's leaving to the cancellation
VIEW_REQUEST = b"GET /view/1 HTTP/1.1\r\nHost: papers.example\r\nRequest-Id: %s\r\n\r\n"
INCOMPLETE_REQUEST = (
    b"POST /submit/1 HTTP/1.1\r\nHost: papers.example\r\nRequest-Id: %s\r\n"
    b"Content-Length: 10\r\n\r\nhalf"
)
SLOTS = 4  # of a backend server, as in its heartbeats


async def start_request(installation, name, request, request_id):
    port = installation.daemons[name].entry_server.port
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(request % request_id)
    return writer


def total_of(installation, field_name):
    return sum(getattr(daemon.status(), field_name) for daemon in installation.daemons.values())


async def wait_for_total(installation, field_name, number):
    async def is_reached():
        return total_of(installation, field_name) == number

    async with asyncio.timeout(5.0):
        await eventually(is_reached)


async def assert_nothing_arrives(installation, received_before):
    """Assert that no further request arrives at the backend servers."""
    await asyncio.sleep(CANCEL_SECONDS)
    assert (
        sum(len(backend.received) for backend in installation.backends.values())
        == received_before
    )


@pytest.mark.parametrize("names", ["a", "ab"])
def test_a_running_request_is_cancelled_when_its_caller_leaves(names):
    """With two daemons, the entry and the backend server can belong to different ones."""

    async def scenario():
        async with fleet(*names) as installation:
            for backend in installation.backends.values():
                backend.fault = ServerFault.HANG
            writers = [
                await start_request(installation, "a", VIEW_REQUEST, b"r-%d" % n)
                for n in range(SLOTS)
            ]
            await wait_for_total(installation, "in_flight", SLOTS)
            for writer in writers:
                writer.transport.abort()
            async with asyncio.timeout(CANCEL_SECONDS):
                await wait_for_total(installation, "in_flight", 0)
            for backend in installation.backends.values():
                assert backend.server.open_connections == 0

    run(scenario)


def test_a_request_queued_at_a_gate_is_cancelled_when_its_caller_leaves():
    async def scenario():
        async with fleet("a") as installation:
            await installation.send_heartbeat("a", 1)
            backend = installation.backends["a"]
            backend.fault = ServerFault.HANG
            running = [
                await start_request(installation, "a", VIEW_REQUEST, b"r-%d" % n)
                for n in range(SLOTS)
            ]
            await wait_for_total(installation, "in_flight", SLOTS)
            waiting = await start_request(installation, "a", VIEW_REQUEST, b"waits")
            await wait_for_total(installation, "queued", 1)
            waiting.transport.abort()
            async with asyncio.timeout(CANCEL_SECONDS):
                await wait_for_total(installation, "queued", 0)
            for writer in running:
                writer.transport.abort()
            await assert_nothing_arrives(installation, SLOTS)
            assert "waits" not in backend.run_request_ids

    run(scenario)


def test_a_request_with_an_incomplete_body_is_not_sent_on_when_its_caller_leaves():
    async def scenario():
        async with fleet("a", "b") as installation:
            writer = await start_request(installation, "a", INCOMPLETE_REQUEST, b"half")
            await asyncio.sleep(0.05)
            writer.transport.abort()
            await assert_nothing_arrives(installation, 0)
            assert total_of(installation, "in_flight") == 0

    run(scenario)


def test_a_request_is_not_tried_again_when_its_caller_leaves():
    async def scenario():
        async with fleet("a", "b") as installation:
            for backend in installation.backends.values():
                backend.fault = ServerFault.RESET
                backend.service = 0.1  # the first try ends after the caller has left
            writer = await start_request(installation, "a", VIEW_REQUEST, b"r-1")
            await wait_for_total(installation, "in_flight", 1)
            writer.transport.abort()
            await assert_nothing_arrives(installation, 1)

    run(scenario)


def test_a_pipelined_request_is_not_run_when_its_caller_leaves():
    """It waits on its connection behind a request that is still running."""

    async def scenario():
        async with fleet("a") as installation:
            backend = installation.backends["a"]
            backend.service = 0.2
            writer = await start_request(installation, "a", VIEW_REQUEST, b"first")
            writer.write(VIEW_REQUEST % b"second")
            await wait_for_total(installation, "in_flight", 1)
            writer.transport.abort()
            await assert_nothing_arrives(installation, 1)
            assert backend.run_request_ids == ["first"]

    run(scenario)
