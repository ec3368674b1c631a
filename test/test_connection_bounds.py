"""What connections may hold, how many there are, and which one makes room for others."""

import asyncio
import gc
import itertools
import socket
import weakref
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from pathlib import Path

import pytest
from wheatslipd.http import serverconnection
from wheatslipd.http.blocked import BlockedConnections
from wheatslipd.http.bounds import (
    AHEAD_BYTES,
    BODY_SOCKET_BYTES,
    HEAD_READ_BYTES,
    PATIENCE_SECONDS,
    RESPONSE_BUFFER_BYTES,
    SOCKET_BUFFER_BYTES,
    Closing,
    PortBounds,
)
from wheatslipd.http.memory import FREE_BYTES, MemoryBudget, Share
from wheatslipd.http.messages import RequestHead
from wheatslipd.http.pool import ConnectionPool
from wheatslipd.http.serverconnections import Rank
from wheatslipd.http.turns import WORK_PER_TURN, Turns

from standins.cluster import HOST
from test.bounded_server import (
    GET,
    LIMITS,
    Held,
    served,
    the_connection,
    until,
)
from test.helper import run


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


class SlowCaller:
    """A caller that reads nothing, with the smallest buffer that the system gives."""

    def __init__(self, port):
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        self._socket.connect((HOST, port))
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    def close(self):
        self._socket.close()


@asynccontextmanager
async def slow_callers(server, number):
    callers = [SlowCaller(server.port) for _ in range(number)]
    try:
        yield callers
    finally:
        for caller in callers:
            caller.close()


def test_above_the_most_blocked_connections_the_longest_blocked_is_closed():
    """Guards against crowds that leave buffers full at every connection of a daemon."""

    async def scenario():
        bounds = PortBounds(lambda: LIMITS, blocked=BlockedConnections(2))
        async with served(bounds) as (server, handler, _), slow_callers(server, 3) as callers:
            handler.answer = b"x" * 100_000
            for caller in callers:
                await caller.send(GET)
            await until(lambda: server.open_connections == 2)
            assert server.connections.closings["slow-reader"] == 1

    run(scenario)


def test_a_connection_that_makes_room_is_closed_also_if_its_caller_does_not_read():
    """Guards against descriptors that are held until a caller reads its answer."""

    async def scenario():
        limits = replace(LIMITS, idle_seconds=30.0)
        bounds = PortBounds(lambda: limits, connections=1)
        async with (
            served(bounds) as (server, handler, connect),
            slow_callers(server, 1) as (slow,),
        ):
            handler.answer = b"x" * 100_000
            await slow.send(GET)
            await until(lambda: server.open_connections)
            blocked = the_connection(server)
            await until(lambda: blocked.blocked_seconds(0.0))
            await asyncio.sleep(2 * PATIENCE_SECONDS)
            await connect()
            await until(lambda: blocked.closed)

    run(scenario)


def test_a_closed_connection_ends_also_if_its_caller_does_not_read(monkeypatch):
    """Guards against descriptors that are held until a caller reads its answer."""
    monkeypatch.setattr(serverconnection, "LINGER_SECONDS", 0.1)

    async def scenario():
        async with served() as (server, _, _), slow_callers(server, 1):
            await until(lambda: server.open_connections)
            connection = the_connection(server)
            connection.transport.write(b"x" * 100_000)
            connection.close()
            await until(lambda: connection.closed)

    run(scenario)


def test_the_system_holds_nothing_of_a_caller_that_was_cut_off():
    """Guards against answers that the system keeps for as long as the caller does not read."""

    def unsent_bytes(*ports):
        """What the system holds for the connection between two ports."""
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, remote, _, queues, *_ = line.split()
            if ports == tuple(int(end.rpartition(":")[2], 16) for end in (local, remote)):
                return int(queues.partition(":")[0], 16)
        return 0

    async def scenario():
        async with served() as (server, handler, _), slow_callers(server, 1) as (slow,):
            handler.answer = b"x" * 100_000
            await slow.send(GET)
            await until(lambda: server.open_connections)
            connection = the_connection(server)
            await until(lambda: connection.blocked_seconds(0.0))
            assert unsent_bytes(server.port, slow.port)
            connection.cut_off(Closing.SLOW_READER)
            await until(lambda: connection.closed)
            assert not unsent_bytes(server.port, slow.port)

    run(scenario)


@pytest.mark.parametrize("body", [b"", b"x" * 20_000], ids=["", "after-a-body"])
def test_requests_sent_ahead_wait_in_small_buffers(body):
    """Guards against 32 KiB a connection for what will not be served for long."""

    async def scenario():
        limits = replace(LIMITS, idle_seconds=30.0)
        async with served(PortBounds(lambda: limits)) as (server, handler, connect):
            handler.may_answer.clear()
            caller = await connect()
            if body:
                head = b"PUT /a HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(body)
                await caller.send(head + body)
            caller.writer.write(GET * 20_000)
            await until(lambda: server.open_connections)
            connection = the_connection(server)
            await until(lambda: connection._rest)
            await asyncio.sleep(0.1)
            assert len(connection._rest) <= HEAD_READ_BYTES + AHEAD_BYTES
            sock = connection.transport.get_extra_info("socket")
            size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            assert size <= 2 * SOCKET_BUFFER_BYTES  # Linux doubles it

    run(scenario)


def test_a_long_body_gets_a_longer_buffer_of_the_system():
    async def scenario():
        async with served() as (server, handler, connect):
            handler.may_answer.clear()
            caller = await connect()
            await caller.send(
                b"PUT /a HTTP/1.1\r\ncontent-length: 90000\r\n\r\n" + b"x" * 30_000
            )
            await until(lambda: server.open_connections)
            sock = the_connection(server).transport.get_extra_info("socket")

            def size():
                return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)

            await until(lambda: size() >= 2 * BODY_SOCKET_BYTES)
            await caller.send(b"x" * 60_000)
            await until(lambda: size() <= 2 * SOCKET_BUFFER_BYTES)

    run(scenario)


def test_an_answer_that_is_given_up_holds_nothing_and_its_caller_waits_for_the_end(monkeypatch):
    """Guards against callers that do not read and come again as soon as they are cut off."""
    monkeypatch.setattr(serverconnection, "STALL_SECONDS", 0.5)

    async def scenario():
        async with served() as (server, handler, connect):
            handler.answer = b"x" * 1_000_000
            caller = await connect(limit=1024)
            caller.writer.transport.pause_reading()
            await caller.send(GET)
            await until(lambda: server.open_connections)
            connection = the_connection(server)
            await until(lambda: connection.blocked_seconds(0.0) != 0.0)
            given_up_at = asyncio.get_running_loop().time()
            connection.close_late()
            await until(lambda: connection._task.done())
            assert connection.is_idle
            now = asyncio.get_running_loop().time()
            assert server.open_connections == 1
            assert connection.expendability(now).rank is Rank.DONE
            await until(lambda: not server.open_connections)
            waited = asyncio.get_running_loop().time() - given_up_at
            assert waited >= 0.9 * 0.5
            caller.writer.transport.resume_reading()
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await caller.reader.readexactly(len(handler.answer))

    run(scenario)


@pytest.mark.parametrize(
    "sent",
    [b"", GET[:-2], GET, GET + GET, b"PUT /a HTTP/1.1\r\ncontent-length: 9\r\n\r\nabc"],
    ids=["nothing", "half-a-head", "request", "two-requests", "half-a-body"],
)
def test_a_closed_connection_is_freed_without_the_garbage_collector(sent):
    """Guards against crowds whose closed connections hold memory until the next collection."""

    async def scenario():
        async with served() as (server, handler, connect):
            handler.may_answer.clear()
            caller = await connect()
            await caller.send(sent)
            await until(lambda: server.open_connections)
            await asyncio.sleep(0.05)
            connection = weakref.ref(the_connection(server))
            caller.writer.transport.abort()
            await until(lambda: not server.open_connections)
            await asyncio.sleep(0.05)
            assert connection() is None

    gc.disable()
    try:
        run(scenario)
    finally:
        gc.enable()


async def begin_response(pool):
    """Leave a connection within a response; returns references to it and to what came."""
    connection = await pool.acquire(5.0)
    await connection.start_with_body(RequestHead(b"GET", b"/a", []), b"")
    response = await connection.response()
    while not response.body.is_paused:
        await asyncio.sleep(0.01)
    pool.release(connection)
    return weakref.ref(connection), weakref.ref(response.body)


def test_a_closed_connection_to_a_server_is_freed_without_the_garbage_collector():
    """Guards against what was received and is held until the next collection."""

    async def scenario():
        async with served() as (server, handler, _):
            handler.answer = b"x" * 200_000
            freed, body = await begin_response(ConnectionPool(HOST, server.port, 1))
            await asyncio.sleep(0.05)
            assert freed() is None and body() is None

    gc.disable()
    try:
        run(scenario)
    finally:
        gc.enable()


def test_the_system_holds_little_of_a_response_that_is_not_read():
    """Guards against the megabytes that the system offers to a reader that was fast so far."""
    length = 20_000_000

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % length)
        writer.write(b"x" * length)
        with suppress(ConnectionError):
            await writer.drain()
        writer.transport.abort()

    async def scenario():
        backend = await asyncio.start_server(answer, HOST, 0)
        pool = ConnectionPool(HOST, backend.sockets[0].getsockname()[1], 1)
        connection = await pool.acquire(5.0)
        await connection.start_with_body(RequestHead(b"GET", b"/a", []), b"")
        response = await connection.response()
        await response.body.read_up_to(length // 2)
        sock = connection.transport.get_extra_info("socket")
        size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        assert size <= 2 * RESPONSE_BUFFER_BYTES  # Linux doubles it
        pool.release(connection)
        backend.close()
        await backend.wait_closed()

    run(scenario)


def test_a_caller_that_was_served_goes_before_the_first_requests_of_others():
    """Guards against crowds of new connections whose requests all start at once."""

    class Recording(Held):
        def __init__(self):
            super().__init__()
            self.targets = []

        async def handle(self, exchange):
            self.targets.append(exchange.head.target)
            await super().handle(exchange)

    async def scenario():
        async with served(handler=Recording()) as (server, handler, connect):
            kept = await connect()
            await kept.send(GET)
            assert await kept.status() == 200
            crowd = [await connect() for _ in range(40)]
            await until(lambda: server.open_connections == 41)
            for caller in crowd:
                caller.writer.write(GET)
            kept.writer.write(GET.replace(b"/a", b"/kept"))
            assert await kept.status() == 200
            assert [await caller.status() for caller in crowd] == [200] * len(crowd)
            assert handler.targets.index(b"/kept") <= 2 * WORK_PER_TURN

    run(scenario)


def test_a_first_request_does_not_wait_for_the_long_work_of_others():
    """Guards against new callers that wait behind the long heads of a crowd."""

    async def scenario():
        bounds = PortBounds(lambda: LIMITS)
        async with served(bounds) as (_, _, connect):
            done = []
            for number in range(5000):
                bounds.turns.wait(lambda number=number: done.append(number), WORK_PER_TURN)
            caller = await connect()
            await caller.send(GET)
            assert await caller.status() == 200
            assert len(done) < 1000

    run(scenario)


class HeldTurns:
    """Turns that a test gives."""

    def __init__(self):
        self.waiting = []

    def take(self, size=1):
        return False

    def wait(self, work, size=1):
        self.waiting.append(work)


def test_a_first_request_that_waits_for_its_turn_makes_no_room_for_silent_ones():
    """Guards against whole requests that give their place to connections that send nothing."""

    async def scenario():
        limits = replace(LIMITS, idle_seconds=30.0, head_seconds=30.0)
        bounds = PortBounds(lambda: limits, connections=2, first_turns=HeldTurns())
        async with served(bounds) as (server, _, connect):
            waiting = await connect()
            await waiting.send(GET)
            await until(lambda: bounds.first_turns.waiting)
            silent = await connect()
            await until(lambda: server.open_connections == 2)
            await connect()
            assert await silent.status() == 0
            bounds.first_turns.waiting.pop()()
            assert await waiting.status() == 200

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
