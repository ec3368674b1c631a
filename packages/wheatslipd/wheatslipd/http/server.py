"""HTTP/1.1 server that passes the requests of each connection to a handler in order."""

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

MAX_PIPELINED = 8  # queued requests of a connection; above it the socket is not read
BACKLOG = 1024  # connections that wait to be accepted
# Longer than `pool.MAX_IDLE_SECONDS`, so that wheatslip's own clients close first.
IDLE_TIMEOUT_SECONDS = 60.0
IDLE_CHECK_SECONDS = 10.0  # between two checks for idle connections

Handler = Callable[[Exchange], Awaitable[None]]


class ServerConnection(Connection):
    """A connection from a caller or a peer; pipelined requests are answered in order."""

    def __init__(self, handler: Handler, connections: set["ServerConnection"]):
        super().__init__()
        self._handler = handler
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""  # of the head being received
        self._waiting: deque[Exchange] = deque()  # queued behind the current request
        self._current: Exchange | None = None  # the request being handled
        self._incoming: Exchange | None = None  # the request whose body is being received
        self._task: asyncio.Task[None] | None = None  # runs the handler
        self._rejection_status = 0  # HTTP status for malformed data; 0: none received
        self._rejected_exchange: Exchange | None = None  # the request with a malformed body
        self._incomplete_head_bytes = 0  # bytes received while the head was incomplete
        self.idle_since = 0.0  # by the loop's clock

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight."""
        return self._current is None and not self._waiting

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._connections.add(self)
        self._mark_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler of the current request."""
        super().connection_lost(exc)
        self._connections.discard(self)
        if self._incoming is not None:
            self._incoming.body.mark_truncated()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; a malformed request gets a 4xx response and a close."""
        if self._rejection_status:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(501)
        except httptools.HttpParserCallbackError as error:
            is_too_large = isinstance(error.__context__, HeadTooLarge)
            self._reject(431 if is_too_large else 400)
        except httptools.HttpParserError:
            self._reject(400)
        else:
            self._check_head_size(len(data))

    def eof_received(self) -> bool:
        """Close when the caller closes its sending side."""
        return False

    # httptools callbacks

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._target = b""
        self._incomplete_head_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._target += url
        if len(self._target) > MAX_HEAD_BYTES:
            raise HeadTooLarge

    def on_headers_complete(self) -> None:
        """Queue the request."""
        self._in_head = False
        if self._parser.should_upgrade():
            # CONNECT or another protocol: the parser stops here and `data_received` rejects it.
            return
        head = RequestHead(
            self._parser.get_method(),
            self._target,
            self._headers,
            self._parser.should_keep_alive(),
            self._parser.get_http_version() == "1.0",
        )
        expects_continue = (head.get(b"expect") or b"").lower() == b"100-continue"
        exchange = Exchange(self, head, Body(self.pause, self.resume), expects_continue)
        self._incoming = exchange
        self._waiting.append(exchange)
        if len(self._waiting) > MAX_PIPELINED:
            self.pause()
        # The handler task starts in the next loop iteration, after the parser has consumed all
        # received data.
        self._start_next()

    def on_body(self, chunk: bytes) -> None:
        if self._incoming is not None:
            self._incoming.body.feed(chunk)

    def on_message_complete(self) -> None:
        if self._incoming is not None:
            self._incoming.body.finish()
            self._incoming = None
        self._in_head = True

    # Request queue

    def _start_next(self) -> None:
        if self._current is not None or self.closed:
            return
        if not self._waiting:
            self._finish_or_wait()
            return
        self._current = self._waiting.popleft()
        if len(self._waiting) == MAX_PIPELINED:
            self.resume()
        self._task = asyncio.get_running_loop().create_task(self._run(self._current))

    async def _run(self, exchange: Exchange) -> None:
        if self._rejection_status and exchange is self._rejected_exchange:
            self._current = None
            self._finish_or_wait()
            return
        try:
            await self._handler(exchange)
        except (ConnectionError, asyncio.CancelledError):
            self.abort()
            return
        except Exception as error:
            # A bug in the handler. Only this connection is closed.
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
            # Resumes the socket, which an unread body may have paused.
            exchange.body.drop()
            self._start_next()

    def _finish_or_wait(self) -> None:
        """After the last queued request, reject malformed data or become idle."""
        if self._rejection_status:
            head = ResponseHead(self._rejection_status, [(b"content-length", b"0")])
            head.headers.append((b"wheatslip-outcome", b"not-run; bad-request"))
            assert self.transport is not None
            self.transport.write(encode_response(head, chunked=False, close=True))
            self.close()
            return
        self._mark_idle()

    def _reject(self, status: int) -> None:
        """Stop parsing; respond with `status` after the responses to all earlier requests."""
        self._rejection_status = status
        self._rejected_exchange = self._incoming
        if self._incoming is not None:
            self._incoming.body.mark_truncated()
        self._start_next()

    def _check_head_size(self, received_bytes: int) -> None:
        """Reject a head that never ends: the parser reports only complete headers."""
        if self._incoming is None and self._in_head:
            self._incomplete_head_bytes += received_bytes
            if self._incomplete_head_bytes > 2 * MAX_HEAD_BYTES and self.is_idle:
                self._reject(431)

    def _mark_idle(self) -> None:
        self.idle_since = asyncio.get_running_loop().time()


class Server:
    """A listening socket and its open connections."""

    def __init__(self, handler: Handler, tls: ssl.SSLContext | None = None):
        self._handler = handler
        self._tls = tls
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._idle_check_timer: asyncio.TimerHandle | None = None
        self.port = 0

    async def listen(self, host: str, port: int) -> None:
        """Listen; `port` 0 picks a free port. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._handler, self._connections),
            host,
            port,
            backlog=BACKLOG,
            ssl=self._tls,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._close_idle_connections()

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def stop(self, grace: float) -> bool:
        """Stop listening and wait up to `grace` seconds for requests in flight.

        Returns whether all of them finished.
        """
        if self._server is not None:
            self._server.close()
        if self._idle_check_timer is not None:
            self._idle_check_timer.cancel()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace
        while any(not c.is_idle for c in self._connections) and loop.time() < deadline:
            await asyncio.sleep(0.02)
        all_finished = all(connection.is_idle for connection in self._connections)
        for connection in list(self._connections):
            connection.close()
        return all_finished

    def _close_idle_connections(self) -> None:
        """Close connections idle for longer than `IDLE_TIMEOUT_SECONDS`; repeats by timer."""
        loop = asyncio.get_running_loop()
        idle_cutoff = loop.time() - IDLE_TIMEOUT_SECONDS
        for connection in list(self._connections):
            if connection.is_idle and connection.idle_since < idle_cutoff:
                connection.close()
        self._idle_check_timer = loop.call_later(
            IDLE_CHECK_SECONDS, self._close_idle_connections
        )
