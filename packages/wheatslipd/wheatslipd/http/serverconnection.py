"""A server's end of a connection: pipelined requests are answered in order.

No connection is closed with bytes that were not read: the system would then reset it, and
the peer could lose the answer.
"""

import asyncio
import traceback
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from math import inf

import httptools
from wheatslip.hop import OUTCOME_HEADER, encode_outcome
from wheatslip.outcome import NotRun, Reason, Unknown
from wheatslip.retryafter import STOPPING

from wheatslipd.http.body import Body
from wheatslipd.http.connection import MAX_HEAD_BYTES, Connection, HeadTooLarge
from wheatslipd.http.exchange import Exchange
from wheatslipd.http.messages import RequestHead, ResponseHead, encode_response
from wheatslipd.telemetry import logs

MAX_PIPELINED = 8  # queued requests of a connection; above it the socket is not read
# Without received bytes: after that nothing more is expected of a connection between requests,
# or of one on which a request head has begun.
QUIET_SECONDS = 0.1
QUIET_IN_HEAD_SECONDS = 1.0
# For which a closed connection is still read, until the peer closes its end too.
LINGER_SECONDS = 1.0

REFUSED_STATUS = 503
UNKNOWN_STATUS = 502
STOPPED_IN_FLIGHT = Unknown(Reason.CANCELLED)
MALFORMED = NotRun(Reason.BAD_REQUEST)

Handler = Callable[[Exchange], Awaitable[None]]


@dataclass(slots=True)
class ServerConnections:
    """The open connections of a server, and whether it stops.

    `quiet_from` is a time of the loop's clock: what arrived before says nothing of what is
    under way. `crossed` counts idle connections that sent something after they were closed.
    """

    open: set["ServerConnection"] = field(default_factory=set)
    is_stopping: bool = False
    quiet_from: float = -inf
    crossed: int = 0


class ServerConnection(Connection):
    """A connection from a caller or a peer; pipelined requests are answered in order."""

    def __init__(self, handler: Handler, connections: ServerConnections):
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
        self._has_partial_head = False
        self._received_at = 0.0  # when bytes were received last, by the loop's clock
        self._linger_timer: asyncio.TimerHandle | None = None  # runs once closed by this end
        self._ended_while_idle = False
        self.idle_since = 0.0  # by the loop's clock

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight."""
        return self._current is None and not self._waiting

    def is_quiet(self, now: float) -> bool:
        """Whether no request is in flight, and none has been arriving lately."""
        expected = QUIET_IN_HEAD_SECONDS if self._has_partial_head else QUIET_SECONDS
        quiet_since = max(self._received_at, self._connections.quiet_from)
        return self.is_idle and now - quiet_since >= expected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._connections.open.add(self)
        self._received_at = asyncio.get_running_loop().time()
        self._mark_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler of the current request."""
        super().connection_lost(exc)
        self._connections.open.discard(self)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        if self._incoming is not None:
            self._incoming.body.mark_truncated()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; a malformed request gets a 4xx response and a close."""
        if self._linger_timer is not None:
            self._note_crossing()
            return
        if self._rejection_status:
            return
        self._received_at = asyncio.get_running_loop().time()
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

    def close(self) -> None:
        """Close the sending side after the send buffer is flushed, and read what still comes.

        The connection ends when the peer closes its side, or after `LINGER_SECONDS`.
        """
        if self.transport is None or self.transport.is_closing() or self._linger_timer:
            return
        self._waiting.clear()  # the response before them announced the close
        if not self.transport.can_write_eof():  # TLS, which announces its end by itself
            self.transport.close()
            return
        self.transport.write_eof()
        self._linger_timer = asyncio.get_running_loop().call_later(
            LINGER_SECONDS, self.transport.close
        )
        self.resume()  # an unread body may have paused it

    def end(self) -> None:
        """Close at the end of a stop; a request without an answer gets a last one.

        An answer that has begun is cut off so that it does not look complete.
        """
        exchange = self._current
        if exchange is not None and exchange.started:
            self.abort()
            return
        if exchange is not None:
            self._send_last(UNKNOWN_STATUS, STOPPED_IN_FLIGHT)
        elif self._has_partial_head:
            self._send_last(REFUSED_STATUS, STOPPING)
        self._ended_while_idle = exchange is None
        self.close()
        if self._task is not None:
            self._task.cancel()

    async def send(self, data: bytes) -> None:
        """Write as `Connection.send`; raises ConnectionError also after `close`."""
        if self._linger_timer is not None:
            raise ConnectionResetError
        await super().send(data)

    def _note_crossing(self) -> None:
        if self._ended_while_idle:
            self._ended_while_idle = False
            self._connections.crossed += 1

    def _send_last(self, status: int, outcome: NotRun | Unknown) -> None:
        """Respond outside of an exchange, and announce the close."""
        assert self.transport is not None
        head = ResponseHead(status, [(b"content-length", b"0")])
        head.headers.append((OUTCOME_HEADER, encode_outcome(outcome)))
        self.transport.write(encode_response(head, chunked=False, close=True))

    # httptools callbacks

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._target = b""
        self._incomplete_head_bytes = 0
        self._has_partial_head = True

    def on_url(self, url: bytes) -> None:
        self._target += url
        if len(self._target) > MAX_HEAD_BYTES:
            raise HeadTooLarge

    def on_headers_complete(self) -> None:
        """Queue the request."""
        self._in_head = False
        self._has_partial_head = False
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
        if self._current is not None or self.closed or self._linger_timer is not None:
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
        if self._connections.is_stopping and not self._waiting:
            exchange.head.keep_alive = False  # the response announces the close
        try:
            await self._handler(exchange)
        except (ConnectionError, asyncio.CancelledError):
            if self._linger_timer is None:
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
            self._send_last(self._rejection_status, MALFORMED)
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
