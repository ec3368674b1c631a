"""What a request may have and how long it may take: heads, bodies, framing, requests ahead."""

import asyncio
from contextlib import suppress
from dataclasses import replace

import pytest
from wheatslipd.http.bounds import BODY_BUFFER_BYTES, PortBounds
from wheatslipd.http.messages import ResponseHead

from test.bounded_server import (
    GET,
    LIMITS,
    Held,
    chunked,
    served,
    the_connection,
    until,
)
from test.helper import run


def test_a_head_of_the_limit_is_served_however_many_fields_it_has():
    """Guards against a limit on the number of fields, which operators do not set."""

    async def scenario():
        async with served() as (_, _, connect):
            caller = await connect()
            fields = b"a:b\r\n" * ((LIMITS.head_bytes - len(GET)) // 5)
            await caller.send(GET[:-2] + fields + b"\r\n")
            assert await caller.status() == 200

    run(scenario)


@pytest.mark.parametrize(
    "head",
    [
        GET[:-2] + b"a: " + b"x" * 4096 + b"\r\n\r\n",
        GET[:-2] + b"aa: bb\r\n" * 700 + b"\r\n",
        b"GET /" + b"x" * 5000 + b" HTTP/1.1\r\n\r\n",
        GET[:-2] + b"a: " + b"x" * 6000,  # never ends
    ],
    ids=["field", "fields", "target", "endless"],
)
def test_a_head_above_the_limit_is_refused(head):
    async def scenario():
        async with served() as (server, handler, connect):
            caller = await connect()
            await caller.send(head)
            assert await caller.status() == 431
            assert handler.sizes == []
            assert server.connections.closings["large-head"] == 1

    run(scenario)


def test_a_body_with_a_length_above_the_limit_is_refused_before_it_comes():
    async def scenario():
        async with served() as (_, handler, connect):
            caller = await connect()
            await caller.send(b"PUT /a HTTP/1.1\r\ncontent-length: 100001\r\n\r\n")
            assert await caller.status() == 413
            assert await caller.status() == 0
            assert handler.sizes == []

    run(scenario)


def test_a_body_in_chunks_is_cut_off_at_the_limit():
    async def scenario():
        async with served() as (server, handler, connect):
            caller = await connect()
            await caller.send(chunked(*[b"x" * 1000] * 101))
            assert await caller.status() in (0, 413)
            assert handler.sizes == []
            assert server.connections.closings["large-body"] == 1

    run(scenario)


def test_bodies_of_the_limit_are_served():
    async def scenario():
        async with served() as (_, handler, connect):
            caller = await connect()
            await caller.send(b"PUT /a HTTP/1.1\r\ncontent-length: 100000\r\n\r\n")
            await caller.send(b"x" * 100_000)
            assert await caller.status() == 200
            await caller.send(chunked(*[b"xy"] * 50_000, b""))
            assert await caller.status() == 200
            assert handler.sizes == [100_000, 100_000]

    run(scenario)


def test_a_body_with_ends_of_heads_is_passed_on_as_it_is():
    """Guards against bodies that are cut where heads are looked for."""
    bodies = []

    class Keeping(Held):
        async def handle(self, exchange):
            bodies.append(await exchange.body.read_up_to(1 << 30))
            await exchange.respond(ResponseHead(200), b"")

    async def scenario():
        async with served(handler=Keeping()) as (_, _, connect):
            caller = await connect()
            body = b"\r\n\r\nGET / HTTP/1.1\r\n\r\n" * 500
            await caller.send(b"PUT /a HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(body))
            await caller.send(body + chunked(body, b"\r\n", b"\r\n", b"") + GET)
            assert [await caller.status() for _ in range(3)] == [200, 200, 200]
            assert bodies == [body, body + b"\r\n\r\n", b""]

    run(scenario)


@pytest.mark.parametrize(
    "end", [b"0\r\nx: ", b"2;x=", b"0;x="], ids=["trailer", "extension", "last-extension"]
)
def test_framing_of_a_body_that_never_ends_is_refused(end):
    """Guards against a trailer that the parser collects without a bound."""

    async def scenario():
        async with served() as (server, handler, connect):
            caller = await connect()
            with suppress(ConnectionError):
                await caller.send(chunked(b"ab") + end)
                for _ in range(20):
                    await caller.send(b"a" * 10_000)
                    await asyncio.sleep(0.01)
            assert await caller.status() in (0, 431)
            assert handler.sizes == []
            assert server.connections.closings["large-head"] == 1

    run(scenario)


def test_a_body_with_extensions_and_trailers_is_served():
    async def scenario():
        async with served() as (_, handler, connect):
            caller = await connect()
            head = b"PUT /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
            await caller.send(head + b"2;x=y\r\nab\r\n" * 5000 + b"0\r\nx: y\r\n\r\n" + GET)
            assert [await caller.status() for _ in range(2)] == [200, 200]
            assert handler.sizes == [10_000, 0]

    run(scenario)


def test_requests_sent_ahead_are_answered_in_order_and_at_most_two_are_parsed():
    """Guards against thousands of requests that one read turned into objects."""

    async def scenario():
        async with served() as (server, handler, connect):
            handler.may_answer.clear()
            caller = await connect()
            await caller.send(b"GET / HTTP/1.1\r\n\r\n" * 5000)
            await until(lambda: handler.sizes)
            await asyncio.sleep(0.05)
            connection = the_connection(server)
            assert len(connection._waiting) == 1
            handler.may_answer.set()
            for _ in range(5000):
                assert await caller.status() == 200

    run(scenario)


def test_requests_sent_ahead_after_a_body_in_chunks_are_few():
    async def scenario():
        async with served() as (server, handler, connect):
            handler.may_answer.clear()
            caller = await connect()
            await caller.send(chunked(b"x", b"") + b"GET / HTTP/1.1\r\n\r\n" * 1000)
            await until(lambda: handler.sizes)
            assert len(the_connection(server)._waiting) <= 8
            handler.may_answer.set()
            for _ in range(1001):
                assert await caller.status() == 200

    run(scenario)


def test_a_body_in_tiny_chunks_is_held_in_one_piece():
    """Guards against a bytes object for each chunk of two bytes."""

    async def scenario():
        async with served() as (server, handler, connect):
            handler.may_answer.clear()
            caller = await connect()
            await caller.send(GET + chunked(*[b"ab"] * 20_000))
            await until(lambda: handler.sizes)
            await asyncio.sleep(0.05)
            (waiting,) = the_connection(server)._waiting
            assert isinstance(waiting.body._received, bytes | bytearray)
            assert waiting.body.buffered_bytes <= BODY_BUFFER_BYTES + 32 * 1024

    run(scenario)


def test_a_head_that_stops_is_refused_after_its_time():
    async def scenario():
        async with served() as (server, handler, connect):
            caller = await connect()
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            await caller.send(GET[:-2])
            assert await caller.status() == 408
            assert loop.time() - began_at >= LIMITS.head_seconds
            assert handler.sizes == []
            assert server.connections.closings["slow-head"] == 1

    run(scenario)


def test_a_head_that_trickles_is_refused_after_its_time():
    async def scenario():
        async with served() as (_, _, connect):
            caller = await connect()

            async def trickle():
                for position in range(len(GET) - 1):
                    await caller.send(GET[position : position + 1])
                    await asyncio.sleep(0.05)

            task = asyncio.create_task(trickle())
            assert await caller.status() == 408
            task.cancel()

    run(scenario)


def test_a_body_that_stops_is_refused_after_the_idle_time():
    async def scenario():
        async with served() as (server, handler, connect):
            caller = await connect()
            await caller.send(b"PUT /a HTTP/1.1\r\ncontent-length: 100\r\n\r\nabc")
            assert await caller.status() in (0, 408)
            assert handler.sizes == []
            assert server.connections.closings["slow-body"] == 1

    run(scenario)


def test_a_body_that_waits_for_100_continue_is_not_taken_for_stopped():
    """Guards against requests that are refused while they wait for a slot of the server."""

    class Late(Held):
        async def handle(self, exchange):
            await asyncio.sleep(1.5 * LIMITS.idle_seconds)
            await exchange.send_continue()
            await super().handle(exchange)

    async def scenario():
        async with served(handler=Late()) as (_, handler, connect):
            caller = await connect()
            head = b"PUT /a HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n"
            await caller.send(head)
            assert (await caller.reader.readuntil(b"\r\n\r\n")).split(b" ")[1] == b"100"
            await caller.send(b"abc")
            assert await caller.status() == 200
            assert handler.sizes == [3]

    run(scenario)


def test_limits_that_change_apply_to_open_connections():
    async def scenario():
        limits = [replace(LIMITS, idle_seconds=30.0)]
        bounds = PortBounds(lambda: limits[0])
        async with served(bounds) as (_, _, connect):
            caller, resting = await connect(), await connect()
            long_head = GET[:-2] + b"a: " + b"x" * 2000 + b"\r\n\r\n"
            await caller.send(long_head)
            assert await caller.status() == 200
            limits[0] = replace(LIMITS, head_bytes=1000)
            await caller.send(long_head)
            assert await caller.status() == 431
            assert await resting.status() == 0

    run(scenario)
