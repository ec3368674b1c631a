"""The server side of HTTP/1.1: reads requests, hands each to a handler, in order."""

import asyncio
import ssl
import traceback
from collections import deque
from collections.abc import Awaitable, Callable

import httptools

from wheatslipd.http.body import Body
from wheatslipd.http.connection import MAX_HEAD_BYTES, Connection, HeadTooLarge
from wheatslipd.http.exchange import Exchange
from wheatslipd.http.messages import RequestHead, ResponseHead, encode_response
from wheatslipd.telemetry import logs

# Requests of a connection that wait behind the present one before it is no longer read.
MAX_PIPELINED = 8
BACKLOG = 1024  # connections that wait to be accepted.
# Seconds until an idle connection is closed; longer than `pool.IDLE_SECONDS`, so that a client
# of ours closes first.
IDLE_SECONDS = 60.0
SWEEP_SECONDS = 10.0  # between two looks for idle connections.

Handler = Callable[[Exchange], Awaitable[None]]


class ServerConnection(Connection):
    """One connection of a caller or a peer. Pipelined requests are answered in order."""

    def __init__(self, handler: Handler, connections: set["ServerConnection"]):
        super().__init__()
        self._handler = handler
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""  # of the head that is coming in
        self._waiting: deque[Exchange] = deque()  # whole heads, behind the present request
        self._current: Exchange | None = None  # the request that the handler works on
        self._incoming: Exchange | None = None  # the request whose body is coming in
        self._task: asyncio.Task[None] | None = None  # runs the handler
        self._failed_status = 0  # HTTP status for what could not be parsed; 0: all could
        self._broken: Exchange | None = None  # the request whose body could not be parsed
        self._fed_in_head = 0  # bytes that came while a head was incomplete
        self.idle_since = 0.0  # by the loop's clock

    @property
    def idle(self) -> bool:
        """Whether no request is under way."""
        return self._current is None and not self._waiting

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a request."""
        super().connection_made(transport)
        self._connections.add(self)
        self._watch_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work: the caller has left."""
        super().connection_lost(exc)
        self._connections.discard(self)
        if self._incoming is not None:
            self._incoming.body.break_off()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; a malformed request is answered with 4xx and the end."""
        if self._failed_status:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(501)
        except httptools.HttpParserCallbackError as error:
            too_large = isinstance(error.__context__, HeadTooLarge)
            self._fail(431 if too_large else 400)
        except httptools.HttpParserError:
            self._fail(400)
        else:
            self._check_head_size(len(data))

    def eof_received(self) -> bool:
        """A caller that half-closes has left."""
        return False

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        """A new request starts."""
        super().on_message_begin()
        self._target = b""
        self._fed_in_head = 0

    def on_url(self, url: bytes) -> None:
        """A part of the request target."""
        self._target += url
        if len(self._target) > MAX_HEAD_BYTES:
            raise HeadTooLarge

    def on_headers_complete(self) -> None:
        """The head is whole: queue the request."""
        self._in_head = False
        if self._parser.should_upgrade():
            # CONNECT, or another protocol: the parser stops here and `_fail` answers.
            return
        head = RequestHead(
            self._parser.get_method(),
            self._target,
            self._headers,
            self._parser.should_keep_alive(),
            self._parser.get_http_version() == "1.0",
        )
        expects = (head.get(b"expect") or b"").lower() == b"100-continue"
        exchange = Exchange(self, head, Body(self.pause, self.resume), expects)
        self._incoming = exchange
        self._waiting.append(exchange)
        if len(self._waiting) > MAX_PIPELINED:
            self.pause()
        # A task's first step runs a turn later: by then the parser has seen all that came.
        self._next()

    def on_body(self, chunk: bytes) -> None:
        """A part of the body."""
        if self._incoming is not None:
            self._incoming.body.feed(chunk)

    def on_message_complete(self) -> None:
        """The request is whole."""
        if self._incoming is not None:
            self._incoming.body.finish()
            self._incoming = None
        self._in_head = True

    # The order of answers.

    def _next(self) -> None:
        if self._current is not None or self.closed:
            return
        if not self._waiting:
            self._end_or_wait()
            return
        self._current = self._waiting.popleft()
        if len(self._waiting) == MAX_PIPELINED:
            self.resume()
        self._task = asyncio.get_running_loop().create_task(self._run(self._current))

    async def _run(self, exchange: Exchange) -> None:
        if self._failed_status and exchange is self._broken:
            self._current = None
            self._end_or_wait()
            return
        try:
            await self._handler(exchange)
        except (ConnectionError, asyncio.CancelledError):
            self.abort()
            return
        except Exception as error:
            # A defect of ours. Only this request is lost: its sender sees the connection end.
            trace = "".join(traceback.format_exception(error))
            logs.error("handler-failed", error=repr(error), trace=trace, repeat_key="handler")
            self.abort()
            return
        self._current = None
        self._task = None
        if not exchange.finished:
            self.abort()
        elif not exchange.head.keep_alive or not exchange.body.complete:
            self.close()
        else:
            # A whole body that nobody read may have stopped the socket: the next request on the
            # connection would never be read.
            exchange.body.drop()
            self._next()

    def _end_or_wait(self) -> None:
        """All requests are answered: refuse what could not be parsed, or wait for the next."""
        if self._failed_status:
            head = ResponseHead(self._failed_status, [(b"content-length", b"0")])
            head.headers.append((b"wheatslip-outcome", b"not-run; bad-request"))
            assert self.transport is not None
            self.transport.write(encode_response(head, chunked=False, close=True))
            self.close()
            return
        self._watch_idle()

    def _fail(self, status: int) -> None:
        """Parse no more; answer with `status` after the requests that came before."""
        self._failed_status = status
        self._broken = self._incoming
        if self._incoming is not None:
            self._incoming.body.break_off()
        self._next()

    def _check_head_size(self, fed: int) -> None:
        """Bound a head that never ends: the parser reports headers only when they are whole."""
        if self._incoming is None and self._in_head:
            self._fed_in_head += fed
            if self._fed_in_head > 2 * MAX_HEAD_BYTES and self.idle:
                self._fail(431)

    def _watch_idle(self) -> None:
        self.idle_since = asyncio.get_running_loop().time()


class Server:
    """A listening socket and its connections."""

    def __init__(self, handler: Handler, tls: ssl.SSLContext | None = None):
        self._handler = handler
        self._tls = tls
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.port = 0

    async def listen(self, host: str, port: int) -> None:
        """Listen; `port` 0 takes a free one. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._handler, self._connections),
            host,
            port,
            backlog=BACKLOG,
            ssl=self._tls,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._sweep()

    @property
    def open_connections(self) -> int:
        """Connections that are open now."""
        return len(self._connections)

    async def stop(self, grace: float) -> bool:
        """Listen no more and wait up to `grace` seconds until nothing is in flight.

        Returns whether everything in flight was finished.
        """
        if self._server is not None:
            self._server.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace
        while any(not c.idle for c in self._connections) and loop.time() < deadline:
            await asyncio.sleep(0.02)
        finished = all(connection.idle for connection in self._connections)
        for connection in list(self._connections):
            connection.close()
        return finished

    def _sweep(self) -> None:
        """Close connections that are idle for too long. One timer serves all of them."""
        loop = asyncio.get_running_loop()
        oldest = loop.time() - IDLE_SECONDS
        for connection in list(self._connections):
            if connection.idle and connection.idle_since < oldest:
                connection.close()
        self._sweep_timer = loop.call_later(SWEEP_SECONDS, self._sweep)
