"""HTTP server and client: malformed requests are refused, and no response or body is assigned
to the wrong request.
"""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from wheatslipd.gate.backend import Backend
from wheatslipd.http.body import HIGH_WATER_BYTES, Body, BodyTruncated
from wheatslipd.http.matching import Kind, Naming, Question
from wheatslipd.http.messages import RequestHead, ResponseHead
from wheatslipd.http.pool import ConnectionPool
from wheatslipd.http.server import Server

from standins.cluster import HOST
from test.helper import run


async def echo(exchange):
    body = await exchange.body.read_up_to(1 << 20)
    await exchange.respond(ResponseHead(200), exchange.head.target + b" " + body)


def with_server(scenario, handler=echo):
    async def main():
        server = Server(handler)
        await server.listen(HOST, 0)
        try:
            await scenario(server.port)
        finally:
            await server.stop(0.0)

    run(main)


MALFORMED = {
    "bare line feed": b"GET / HTTP/1.1\nHost: a\n\n",
    "folded header": b"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
    "length and chunked": (
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "two lengths": b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
    "unknown coding": b"POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\nabc",
    "space before colon": b"POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
    "signed length": b"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
    "bad chunk end": b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\n0\n\n",
    "control character": b"GET / HTTP/1.1\r\nA: \x00\r\n\r\n",
    "not http": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 hello\r\n\r\n",
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_requests_are_refused_and_the_connection_closed(name):
    async def scenario(port):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(MALFORMED[name])
        answer = await reader.read()  # until the server closes the connection
        assert answer.startswith(b"HTTP/1.1 400")
        assert answer.count(b"HTTP/1.1") == 1
        writer.close()

    with_server(scenario)


def test_a_too_large_request_head_is_refused():
    async def scenario(port):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET / HTTP/1.1\r\nA: " + b"a" * 100_000)
        assert (await reader.read()).startswith(b"HTTP/1.1 431")
        writer.close()

    with_server(scenario)


def test_pipelined_requests_are_answered_in_order():
    async def delay_first(exchange):
        if exchange.head.target == b"/0":
            await asyncio.sleep(0.05)
        await echo(exchange)

    async def scenario(port):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % i for i in range(30)))
        answer = b""
        while answer.count(b"HTTP/1.1 200") < 30 or not answer.endswith(b"/29 "):
            answer += await reader.read(65536)
        positions = [answer.index(b"/%d " % i) for i in range(30)]
        assert positions == sorted(positions)
        writer.close()

    with_server(scenario, delay_first)


def test_a_response_before_the_end_of_the_body_announces_that_the_connection_closes():
    async def respond_immediately(exchange):
        await exchange.respond(ResponseHead(503))

    async def scenario(port):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nonly a part")
        answer = await reader.read()
        assert b"connection: close" in answer
        writer.close()

    with_server(scenario, respond_immediately)


@given(st.lists(st.binary(max_size=40), max_size=6), st.integers(0, 2**32))
@settings(
    max_examples=60, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck)
)
def test_garbage_neither_crashes_nor_confuses_the_server(parts, number):
    async def scenario(port):
        data = b"".join(parts)
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(data + b"\r\n\r\n")
        writer.close()
        pool = ConnectionPool(HOST, port, 4)
        connection = await pool.acquire(1.0)
        target = b"/%d" % number
        await connection.start_with_body(RequestHead(b"GET", target, []), b"")
        response = await connection.response()
        assert await response.body.read_up_to(100) == target + b" "
        pool.release(connection)
        pool.close()

    with_server(scenario)


async def start_raw_server(answer):
    """Start a server that sends fixed bytes after each read; returns it and its port."""

    async def serve(reader, writer):
        try:
            while await reader.read(65536):
                writer.write(answer)
        except ConnectionError:
            pass
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    return server, server.sockets[0].getsockname()[1]


async def _fetch(pool, method=b"GET"):
    connection = await pool.acquire(1.0)
    try:
        await connection.start_with_body(RequestHead(method, b"/", []), b"")
        response = await connection.response()
        return await response.body.read_up_to(1 << 20), connection
    finally:
        pool.release(connection)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more",
    ],
)
def test_a_connection_with_bytes_after_the_response_is_not_reused(answer):
    async def main():
        server, port = await start_raw_server(answer)
        pool = ConnectionPool(HOST, port, 4)
        body, first = await _fetch(pool)
        assert body == b"ok"
        assert not first.reusable
        _, second = await _fetch(pool)
        assert second is not first
        server.close()

    run(main)


def test_late_bytes_on_an_idle_connection_close_it():
    async def main():
        may_send_late_bytes = asyncio.Event()

        async def serve(reader, writer):
            await reader.read(65536)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await may_send_late_bytes.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")

        server = await asyncio.start_server(serve, HOST, 0)
        pool = ConnectionPool(HOST, server.sockets[0].getsockname()[1], 4)
        _, first = await _fetch(pool)
        assert first.reusable
        may_send_late_bytes.set()
        while not first.closed:
            await asyncio.sleep(0.005)
        assert not first.reusable
        server.close()

    run(main)


def test_a_response_to_head_has_no_body_and_its_connection_is_not_reused():
    async def main():
        server, port = await start_raw_server(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
        body, connection = await _fetch(ConnectionPool(HOST, port, 4), b"HEAD")
        assert body == b""
        assert not connection.reusable
        server.close()

    run(main)


def test_a_truncated_body_raises_an_error():
    async def main():
        async def serve(reader, writer):
            await reader.read(65536)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nonly")
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        with pytest.raises(BodyTruncated):
            await _fetch(ConnectionPool(HOST, server.sockets[0].getsockname()[1], 4))
        server.close()

    run(main)


def test_a_large_body_is_streamed_with_bounded_memory():
    total_bytes = 20 << 20
    buffered_bytes = []

    async def stream(exchange):
        exchange.start(ResponseHead(200))
        for _ in range(total_bytes // 65536):
            await exchange.write(b"x" * 65536)
        await exchange.finish()

    async def scenario(port):
        connection = await ConnectionPool(HOST, port, 1).acquire(1.0)
        await connection.start_with_body(RequestHead(b"GET", b"/", []), b"")
        response = await connection.response()
        size = 0
        async for chunk in response.body.chunks():
            buffered_bytes.append(response.body.buffered_bytes)
            size += len(chunk)
            await asyncio.sleep(0)
        assert size == total_bytes
        assert max(buffered_bytes) < 2 << 20

    with_server(scenario, stream)


def test_connect_and_upgrade_requests_get_one_response_and_the_connection_is_closed():
    async def scenario(port):
        for request in (
            b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
        ):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(request)
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 501")
            assert answer.count(b"HTTP/1.1") == 1
            writer.close()

    with_server(scenario)


def test_an_answer_before_the_request_is_whole_ends_the_connection():
    """The server may read the rest of the body as the next request, or not read it."""

    async def scenario():
        server, port = await start_raw_server(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        pool = ConnectionPool(HOST, port, 4)
        connection = await pool.acquire(1.0)
        await connection.start(RequestHead(b"POST", b"/"))
        response = await connection.response()
        assert response.head.status == 503
        await connection.write(b"rest")
        await connection.finish()
        assert not connection.reusable
        pool.release(connection)
        server.close()

    run(scenario)


def test_a_second_answer_to_an_earlier_request_is_discarded():
    async def scenario():
        request_count = 0

        async def serve(reader, writer):
            nonlocal request_count
            while await reader.readuntil(b"\r\n\r\n"):
                request_count += 1
                for number in range(max(1, request_count - 1), request_count + 1):
                    body = b"answer %d" % number
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nRequest-Id: %d\r\nContent-Length: %d\r\n\r\n%s"
                        % (number, len(body), body)
                    )

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool(HOST, port, 4, naming=Naming(b"request-id"))
        for number in (1, 2, 3):
            question = Question(Kind.REQUEST, b"%d" % number)
            connection = await pool.acquire(1.0, question=question)
            await connection.start_with_body(RequestHead(b"GET", b"/"), b"")
            response = await connection.response()
            assert await response.body.read_up_to(100) == b"answer %d" % number
            pool.release(connection)
        assert pool.opened_count == 1
        pool.close()
        server.close()

    run(scenario)


def test_a_request_without_an_id_is_answered_on_a_connection_that_had_one():
    """Guards against a wait for the id of the request before it."""

    async def scenario():
        async def serve(reader, writer):
            while head := await reader.readuntil(b"\r\n\r\n"):
                request_id = b"7" if b"request-id: 7" in head else b""
                writer.write(
                    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
                    % request_id
                )

        server = await asyncio.start_server(serve, HOST, 0)
        backend = Backend(
            HOST, server.sockets[0].getsockname()[1], 1, 1.0, Naming(b"request-id")
        )
        for name in (b"7", b""):
            body = Body(lambda: None, lambda: None)
            body.finish()
            head = RequestHead(b"GET", b"/", [(b"request-id", name)] if name else [])
            question = Question(Kind.REQUEST, name)
            async with asyncio.timeout(1.0):
                answer = await backend.send(head, body, question, 0.0, lambda: None)
            assert answer.response.head.status == 200
            backend.release(answer)
        backend.close()
        server.close()

    run(scenario)


def test_buffering_a_body_waits_for_it_without_consuming_it():
    async def scenario():
        body = Body(lambda: None, lambda: None)
        waiting = asyncio.create_task(body.buffer_up_to(8))
        await asyncio.sleep(0)
        body.feed(b"abc")
        await asyncio.sleep(0)
        assert not waiting.done()
        body.finish()
        await waiting
        assert await body.read_up_to(8) == b"abc"
        long_body = Body(lambda: None, lambda: None)
        long_body.feed(b"0123456789")
        await long_body.buffer_up_to(8)
        truncated_body = Body(lambda: None, lambda: None)
        truncated_body.mark_truncated()
        with pytest.raises(BodyTruncated):
            await truncated_body.buffer_up_to(8)

    run(scenario)


def test_the_next_request_is_answered_after_one_whose_body_was_not_read():
    """A body above the high-water mark pauses reading from its socket, which must resume when
    the response is sent without the body having been read.
    """

    async def respond_without_reading(exchange):
        await exchange.body.buffer_up_to(1 << 20)
        await exchange.respond(ResponseHead(200), exchange.head.target)

    async def scenario(port):
        reader, writer = await asyncio.open_connection(HOST, port)
        size = HIGH_WATER_BYTES + 1
        writer.write(b"POST /one HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size)
        assert (await reader.readuntil(b"/one")).startswith(b"HTTP/1.1 200")
        writer.write(b"GET /two HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(5):
            assert (await reader.readuntil(b"/two")).startswith(b"HTTP/1.1 200")
        writer.close()

    with_server(scenario, respond_without_reading)
