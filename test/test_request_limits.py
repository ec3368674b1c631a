"""What a connection may send, hold and take: the bounds of `http/bounds` at one server."""

import asyncio
import itertools
import socket
from contextlib import asynccontextmanager, suppress
from dataclasses import replace

import pytest
from wheatslipd.http import serverconnection
from wheatslipd.http.bounds import BODY_BUFFER_BYTES, PortBounds, RequestLimits
from wheatslipd.http.memory import FREE_BYTES, MemoryBudget, Share
from wheatslipd.http.messages import ResponseHead
from wheatslipd.http.server import Server
from wheatslipd.http.turns import WORK_PER_TURN, Turns

from standins.cluster import HOST, eventually
from test.helper import run

LIMITS = RequestLimits(4096, 100_000, 0.5, 1.0)
GET = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"
SECONDS = 5.0  # for an answer


class Held:
    """A handler that reads the body and waits until it may answer."""

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.sizes = []
        self.answer = b"done"

    async def handle(self, exchange):
        body = await exchange.body.read_up_to(1 << 30)
        self.sizes.append(len(body))
        await self.may_answer.wait()
        await exchange.respond(ResponseHead(200), self.answer)


class Caller:
    """A connection to a server."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def status(self):
        """The status of the next answer; 0 if the connection ended first."""
        try:
            async with asyncio.timeout(SECONDS):
                head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
        await self.reader.readexactly(int(length))
        return int(head.split(b" ")[1])


@asynccontextmanager
async def served(bounds=None, handler=None):
    """A server with these bounds; yields it, its handler, and a function that connects."""
    handler = handler or Held()
    server = Server(handler.handle, bounds=bounds or PortBounds(lambda: LIMITS))
    await server.listen(HOST, 0)
    writers = []

    async def connect(limit=1 << 20):
        reader, writer = await asyncio.open_connection(HOST, server.port, limit=limit)
        writers.append(writer)
        return Caller(reader, writer)

    try:
        yield server, handler, connect
    finally:
        for writer in writers:
            writer.transport.abort()
        await server.abort()


def the_connection(server):
    (connection,) = server.connections.open
    return connection


def chunked(*chunks):
    head = b"PUT /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
    return head + b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)


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


@pytest.mark.parametrize("is_used", [False, True], ids=["unused", "used"])
def test_a_connection_at_rest_is_closed_after_the_idle_time(is_used):
    async def scenario():
        async with served() as (_, _, connect):
            caller = await connect()
            if is_used:
                await caller.send(GET)
                assert await caller.status() == 200
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            assert await caller.status() == 0
            assert loop.time() - began_at >= 0.9 * LIMITS.idle_seconds

    run(scenario)


def test_a_connection_that_rests_for_four_fifths_of_the_idle_time_is_served():
    async def scenario():
        async with served() as (_, _, connect):
            caller = await connect()
            for _ in range(3):
                await caller.send(GET)
                assert await caller.status() == 200
                await asyncio.sleep(0.8 * LIMITS.idle_seconds)

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


def test_a_caller_that_does_not_read_is_cut_off(monkeypatch):
    """Guards against answers that are held for a caller that never reads them."""
    monkeypatch.setattr(serverconnection, "STALL_SECONDS", 0.5)

    async def scenario():
        async with served() as (server, handler, connect):
            handler.answer = b"x" * 1_000_000
            caller = await connect(limit=1024)
            caller.writer.transport.pause_reading()
            await caller.send(GET)
            await until(lambda: server.connections.closings["slow-reader"])
            assert not server.connections.open

    run(scenario)


def test_a_caller_that_reads_slowly_but_steadily_gets_its_answer(monkeypatch):
    monkeypatch.setattr(serverconnection, "STALL_SECONDS", 0.5)

    async def scenario():
        async with served() as (_, handler, connect):
            handler.answer = b"x" * 1_000_000
            caller = await connect(limit=1024)
            await caller.send(GET)
            received = 0
            while received < len(handler.answer):
                received += len(await caller.reader.read(20_000))
                await asyncio.sleep(0.02)

    run(scenario)


def test_memory_for_large_requests_is_bounded_and_small_ones_need_none():
    async def scenario():
        memory = MemoryBudget(300_000)
        bounds = PortBounds(lambda: LIMITS, memory=memory)
        async with served(bounds) as (server, handler, connect):
            handler.may_answer.clear()
            put = b"PUT /a HTTP/1.1\r\ncontent-length: 60000\r\n\r\n" + b"x" * 60_000
            first = await connect()
            await first.send(put)
            await until(lambda: handler.sizes)
            second = await connect()
            await second.send(put)
            assert await second.status() in (0, 503)
            assert server.connections.closings["memory"] == 1
            small = await connect()
            await small.send(GET)
            await until(lambda: len(handler.sizes) == 2)
            handler.may_answer.set()
            assert await small.status() == 200
            assert await first.status() == 200
            third = await connect()
            await third.send(put)
            assert await third.status() == 200
            await until(lambda: not memory.reserved)

    run(scenario)


def test_heads_count_by_what_they_hold_and_give_it_back():
    async def scenario():
        memory = MemoryBudget(1_000_000)
        limits = replace(LIMITS, head_bytes=16_384, head_seconds=0.3)
        async with served(PortBounds(lambda: limits, memory=memory)) as (_, _, connect):
            head = GET[:-2] + b"a:b\r\n" * 3000
            caller = await connect()
            await caller.send(head)
            await until(lambda: memory.reserved > 400_000)
            assert await caller.status() == 408
            await until(lambda: not memory.reserved)
            await (broken := await connect()).send(head)
            await until(lambda: memory.reserved)
            broken.writer.transport.abort()
            await until(lambda: not memory.reserved)

    run(scenario)


def test_at_the_most_connections_one_that_waits_makes_room():
    """Guards against silent connections that take every descriptor of a daemon."""

    async def scenario():
        limits = replace(LIMITS, idle_seconds=30.0, head_seconds=30.0)
        bounds = PortBounds(lambda: limits, connections=3)
        async with served(bounds) as (server, _handler, connect):
            kept = await connect()
            await kept.send(GET)
            assert await kept.status() == 200
            silent, partial = await connect(), await connect()
            await partial.send(GET[:-2])
            await until(lambda: server.open_connections == 3)
            for _ in range(2):
                newcomer = await connect()
                await newcomer.send(GET)
                assert await newcomer.status() == 200
            assert await silent.status() == 0
            assert await partial.status() in (0, 503)
            await kept.send(GET)
            assert await kept.status() == 200
            assert server.connections.closings["crowded-out"] == 2

    run(scenario)


def test_unproven_connections_make_room_for_each_other_and_proven_ones_stay():
    """Guards against a crowd that takes the connections of other daemons."""

    class Admitting(Held):
        async def handle(self, exchange):
            exchange.admitted = exchange.head.target == b"/a"
            await super().handle(exchange)

    async def scenario():
        limits = replace(LIMITS, idle_seconds=30.0, head_seconds=30.0)
        bounds = PortBounds(lambda: limits, unproven=2)
        async with served(bounds, Admitting()) as (server, _, connect):
            proven = [await connect() for _ in range(2)]
            for caller in proven:
                await caller.send(GET)
                assert await caller.status() == 200
            crowd = [await connect() for _ in range(4)]
            await crowd[3].send(b"GET /b HTTP/1.1\r\n\r\n")
            assert await crowd[3].status() == 200
            assert [await caller.status() for caller in crowd[:2]] == [0, 0]
            assert server.open_connections == 4
            for caller in proven:
                await caller.send(GET)
                assert await caller.status() == 200

    run(scenario)


def test_an_unproven_connection_with_a_request_makes_no_room():
    """Guards against a crowd that costs the first request of another daemon's connection."""

    async def scenario():
        limits = replace(LIMITS, idle_seconds=30.0, head_seconds=30.0)
        async with served(PortBounds(lambda: limits, unproven=2)) as (_, handler, connect):
            handler.may_answer.clear()
            busy = await connect()
            await busy.send(GET)
            await until(lambda: handler.sizes)
            crowd = [await connect() for _ in range(3)]
            assert [await caller.status() for caller in crowd[:2]] == [0, 0]
            handler.may_answer.set()
            assert await busy.status() == 200

    run(scenario)


def test_a_connection_that_is_crowded_out_says_so_in_a_way_that_daemons_repeat():
    async def scenario():
        limits = replace(LIMITS, idle_seconds=30.0, head_seconds=30.0)
        async with served(PortBounds(lambda: limits, connections=1)) as (_, _, connect):
            partial = await connect()
            await partial.send(GET[:-2])
            await asyncio.sleep(0.05)
            await connect()
            head = await partial.reader.readuntil(b"\r\n\r\n")
            assert b" 503 " in head and b"not-run; overloaded" in head

    run(scenario)


def test_connections_with_requests_make_no_room():
    async def scenario():
        async with served(PortBounds(lambda: LIMITS, connections=2)) as (
            _server,
            handler,
            connect,
        ):
            handler.may_answer.clear()
            busy = [await connect(), await connect()]
            for caller in busy:
                await caller.send(GET)
            await until(lambda: len(handler.sizes) == 2)
            newcomer = await connect()
            assert await newcomer.status() == 0
            handler.may_answer.set()
            for caller in busy:
                assert await caller.status() == 200

    run(scenario)


def test_an_end_of_a_connection_that_its_caller_has_reset_is_no_error():
    """Guards against an exception where the sending side of a reset connection is closed."""

    async def scenario():
        async with served() as (server, _, connect):
            caller = await connect()
            await until(lambda: server.open_connections)
            sock = caller.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            connection = the_connection(server)
            connection.pause()
            caller.writer.transport.abort()
            await asyncio.sleep(0.05)
            connection.close()

    run(scenario)


def test_long_work_of_many_goes_in_turns():
    async def scenario():
        turns = Turns()
        done = []
        assert [turns.take() for _ in range(WORK_PER_TURN + 1)] == [True] * WORK_PER_TURN + [
            False
        ]
        for number in range(2 * WORK_PER_TURN):
            turns.wait(lambda number=number: done.append(number))
        counts = []
        while len(done) < 2 * WORK_PER_TURN:
            await asyncio.sleep(0)
            counts.append(len(done))
        assert done == list(range(2 * WORK_PER_TURN))
        assert max(b - a for a, b in itertools.pairwise(counts)) <= WORK_PER_TURN

    run(scenario)


def test_a_share_of_the_memory_is_returned_once():
    memory = MemoryBudget(100_000)
    share = Share(memory)
    assert share.grow(FREE_BYTES)
    assert not memory.reserved
    assert share.grow(1)
    assert not share.grow(200_000)
    share.release()
    share.release()
    assert memory.reserved == 0


async def until(is_met):
    async def check():
        return bool(is_met())

    await eventually(check)
