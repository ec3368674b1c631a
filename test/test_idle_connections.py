"""Idle connections that a backend server drops: after one reset the others are not reused."""

import asyncio
import errno

from wheatslip.idlelimit import LIMIT_VALID_SECONDS, IdleLimit
from wheatslip.outcome import Unknown
from wheatslipd.gate.backend import Backend, BackendAnswer
from wheatslipd.http.body import Body
from wheatslipd.http.client import KEEPALIVE_SECONDS
from wheatslipd.http.matching import UNNAMED_REQUEST
from wheatslipd.http.messages import RequestHead, ResponseHead
from wheatslipd.http.pool import ConnectionPool
from wheatslipd.http.server import Server

from standins.cluster import HOST
from test.helper import run

IDLE_SECONDS = 1.0


def test_reset_limits_the_idle_time_of_reused_connections_for_a_while():
    limit = IdleLimit()
    assert limit.max_idle(0.0) == float("inf")
    limit.on_reset(0.3, 1.0)
    assert limit.max_idle(1.0) == 0.15
    assert limit.max_idle(1.0 + LIMIT_VALID_SECONDS) == float("inf")


def test_shortest_idle_time_that_ended_in_a_reset_counts():
    limit = IdleLimit()
    limit.on_reset(0.2, 1.0)
    limit.on_reset(2.0, 2.0)
    assert limit.max_idle(2.0) == 0.1


def test_reset_of_a_connection_that_was_just_used_is_ignored():
    limit = IdleLimit()
    limit.on_reset(0.0, 1.0)
    assert limit.max_idle(1.0) == float("inf")


class ResettingServer:
    """Answers the first request of a connection, and resets the connection at the second."""

    def __init__(self):
        self.server = Server(self.handle)
        self.served_connections = set()
        self.all_connected = asyncio.Barrier(3)

    async def handle(self, exchange):
        if exchange.connection in self.served_connections:
            exchange.connection.abort()
            return
        self.served_connections.add(exchange.connection)
        if exchange.head.target == b"/together":
            await self.all_connected.wait()
        await exchange.respond(ResponseHead(200))


async def ask(backend, path):
    body = Body(lambda: None, lambda: None)
    body.finish()
    head = RequestHead(b"GET", path, [(b"host", b"a")])
    answer = await backend.send(head, body, UNNAMED_REQUEST)
    if isinstance(answer, BackendAnswer):
        await answer.response.body.read_up_to(100)
        backend.release(answer)
    return answer


def test_idle_connections_are_not_reused_after_one_timed_out():
    async def scenario():
        server = Server(lambda exchange: exchange.respond(ResponseHead(200)))
        await server.listen(HOST, 0)
        pool = ConnectionPool(HOST, server.port, 10)
        connections = [await pool.acquire(1.0) for _ in range(3)]
        for connection in connections:
            pool.release(connection)
        used = await pool.acquire(1.0)
        # The event loop's error for a socket whose bytes were not acknowledged in time.
        used.connection_lost(OSError(errno.ETIMEDOUT, "timed out"))
        assert used.timed_out and not used.request_unacknowledged
        pool.release(used)
        fresh = await pool.acquire(1.0)
        assert fresh not in connections
        pool.release(fresh)
        pool.close()
        await server.stop(0.0)

    run(scenario)


def test_request_counts_as_unacknowledged_only_after_an_early_timeout():
    async def scenario():
        server = Server(lambda exchange: asyncio.Event().wait())
        await server.listen(HOST, 0)
        for error, elapsed, unacknowledged in (
            (errno.ETIMEDOUT, 0.0, True),
            (errno.ETIMEDOUT, KEEPALIVE_SECONDS, False),
            (errno.ECONNRESET, 0.0, False),
        ):
            pool = ConnectionPool(HOST, server.port, 10)
            connection = await pool.acquire(1.0)
            head = RequestHead(b"GET", b"/", [(b"host", b"a")])
            await connection.start_with_body(head, b"")
            connection._sent_at -= elapsed
            connection.connection_lost(OSError(error, "reported by the event loop"))
            assert connection.request_unacknowledged is unacknowledged
            pool.release(connection)
        await server.stop(0.0)

    run(scenario)


def test_after_one_reset_connections_idle_as_long_are_not_reused():
    async def scenario():
        resetting = ResettingServer()
        await resetting.server.listen(HOST, 0)
        backend = Backend(HOST, resetting.server.port, 10, 1.0)
        await asyncio.gather(*(ask(backend, b"/together") for _ in range(3)))
        for connection in backend._pool._idle:
            connection.idle_since -= IDLE_SECONDS
        assert isinstance(await ask(backend, b"/"), Unknown)
        assert isinstance(await ask(backend, b"/"), BackendAnswer)
        assert len(resetting.served_connections) == 4
        backend.close()
        await resetting.server.stop(0.0)

    run(scenario)
