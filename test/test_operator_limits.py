"""The operator's limits, from the store to an entry's connections, and uploads at a gate."""

import asyncio
from contextlib import suppress

import aiohttp
from wheatslip.admission import ClosedBy

from standins.cluster import HOST, eventually
from test.helper import run
from test.routed_fleet import configuration, fleet

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}
LOWER_LIMITS = {
    "max_header_bytes": 4096,
    "max_body_bytes": 524288,
    "header_timeout_s": 0.5,
    "idle_timeout_s": 1.0,
}


def limited(limits, version=1):
    return configuration(version=version) | {"limits": limits}


async def begin_upload(port, request_id):
    """Send half of a body of 200,000 bytes; returns the writer."""
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(
        b"PUT /submit/ HTTP/1.1\r\nhost: papers.example\r\n"
        b"request-id: %s\r\ncontent-length: 200000\r\n\r\n" % request_id.encode()
    )
    writer.write(b"x" * 100_000)
    return writer


async def put(installation, size, chunked=False):
    async def parts():
        for _ in range(size // 65536):
            yield b"x" * 65536

    body = parts() if chunked else b"x" * size
    status, *_ = await installation.send_request("a", "/submit/", "PUT", body)
    return status


def test_limits_reach_the_daemons_and_may_be_lowered_while_they_run():
    async def scenario():
        async with fleet("a", "b", initial_configuration=limited(LIMITS)) as installation:
            # Kept in place of what the operator's limit allows, below 8 KiB for the client.
            header = {"Padding": "x" * 6000}
            assert (await installation.send_request("a", **header))[0] == 200
            assert await put(installation, 768 << 10) == 200
            assert await put(installation, 768 << 10, chunked=True) == 200
            installation.store.write("config", "main", limited(LOWER_LIMITS, 2))
            await installation.ready(2)
            assert (await installation.send_request("a", **header))[0] == 431
            for chunked in (False, True):
                # The connection may be closed while the body is sent.
                with suppress(aiohttp.ClientError):
                    assert await put(installation, 768 << 10, chunked) == 413
            assert await put(installation, 512 << 10) == 200
            port = installation.daemons["a"].entry_server.port
            reader, writer = await asyncio.open_connection(HOST, port)
            async with asyncio.timeout(3.0):
                assert await reader.read() == b""
            writer.close()

    run(scenario)


def test_callers_that_break_their_bodies_off_do_not_close_the_gate():
    """Guards against a body that its caller broke off counting as a failure of the server."""

    async def scenario():
        async with fleet("a", initial_configuration=limited(LIMITS)) as installation:
            port = installation.daemons["a"].entry_server.port
            gate = installation.daemons["a"].server_side.gate
            for number in range(6):
                writer = await begin_upload(port, f"broken-{number}")

                async def is_running():
                    return gate.admission.in_flight == 1

                async def has_left():
                    return gate.admission.in_flight == 0

                await eventually(is_running)
                writer.transport.abort()
                await eventually(has_left)
                assert not gate.is_closed_by(ClosedBy.SERVER_LOST)
            assert (await installation.send_request("a"))[0] == 200

    run(scenario)


def test_bodies_on_their_way_hold_half_of_the_slots_at_most():
    """Guards against ordinary requests that find all slots held by callers who send slowly."""

    async def scenario():
        async with fleet("a", initial_configuration=limited(LIMITS)) as installation:
            port = installation.daemons["a"].entry_server.port
            gate = installation.daemons["a"].server_side.gate
            writers = [await begin_upload(port, f"slow-{number}") for number in range(8)]

            async def are_running():
                return gate.admission.in_flight >= 2

            await eventually(are_running)
            assert gate.admission.limit.value == 4
            for _ in range(5):
                assert (await installation.send_request("a"))[0] == 200
                assert gate.admission.in_flight <= 2
            peer_port = installation.daemons["a"].peer_server.connections

            async def others_are_refused():
                return peer_port.closings["uploads"] == 6

            await eventually(others_are_refused)
            for writer in writers:
                writer.transport.abort()

    run(scenario)


def test_heartbeats_are_taken_beside_a_crowd_at_their_port():
    """Guards against a server that is taken for gone because others hold its daemon's port."""

    async def scenario():
        async with fleet("a", initial_configuration=limited(LIMITS)) as installation:
            server = installation.daemons["a"].local_backend.registration_server
            most = server.connections.bounds.connections
            crowd = [
                await asyncio.open_connection(HOST, server.port) for _ in range(int(most) + 50)
            ]
            assert server.open_connections <= most
            for sequence in range(1, 4):
                assert await installation.send_heartbeat("a", sequence) == 200
            reader, writer = crowd[-1]
            writer.write(b"PUT /heartbeats/i-a HTTP/1.1\r\ncontent-length: 100000\r\n\r\n")
            assert b" 413 " in await reader.readline()
            for _, writer in crowd:
                writer.transport.abort()

    run(scenario)
