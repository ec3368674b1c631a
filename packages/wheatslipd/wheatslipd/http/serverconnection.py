"""A server's end of a connection: pipelined requests are answered in order.

No connection is closed with bytes that were not read: the system would then reset it, and
the peer could lose the answer. `http/bounds` has what a connection may send, hold and take.
"""

import asyncio
import traceback
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import inf

import httptools
from wheatslip.hop import OUTCOME_HEADER, encode_outcome
from wheatslip.outcome import NotRun, Reason, Unknown
from wheatslip.retryafter import NO_MEMORY, STOPPING

from wheatslipd.http.body import Body
from wheatslipd.http.bounds import (
    AHEAD_BYTES,
    BODY_BUFFER_BYTES,
    BODY_COPIES,
    FIELD_BYTES,
    MAX_QUEUED,
    PATIENCE_SECONDS,
    READ_BYTES,
    STALL_SECONDS,
    Closing,
    PortBounds,
    RequestLimits,
)
from wheatslipd.http.connection import FIELD_FRAME_BYTES, Connection, Pause
from wheatslipd.http.exchange import Exchange
from wheatslipd.http.memory import Share
from wheatslipd.http.messages import RequestHead, ResponseHead, encode_response
from wheatslipd.http.serverconnections import (
    FRESH_SECONDS,
    Expendability,
    OpenConnections,
    Rank,
)
from wheatslipd.http.turns import WORK_PER_TURN
from wheatslipd.telemetry import logs

# Without received bytes: after that nothing more is expected of a connection between requests,
# or of one on which a request head has begun.
QUIET_SECONDS = 0.1
QUIET_IN_HEAD_SECONDS = 1.0
# For which a closed connection is still read, until the peer closes its end too.
LINGER_SECONDS = 1.0
LONG_READ_BYTES = READ_BYTES // 4  # received at once; such reads go in turns
# In chunked bodies the end of a head is looked for from here on, so that bodies which contain
# such ends are not parsed in too many pieces.
MIN_CHUNKED_PIECE_BYTES = 128
LONG_HEAD_FIELDS = 200  # a request with more starts in a turn of its own
END_OF_HEAD = b"\r\n\r\n"
RESERVED_HEAD_STEP_BYTES = 4096  # of the memory of a head, between two looks at the budget
# Above the limit of a head: bytes of the message before it that are parsed with it.
HEAD_SLACK_BYTES = 2 * MIN_CHUNKED_PIECE_BYTES

REFUSED_STATUS = 503
UNKNOWN_STATUS = 502
STOPPED_IN_FLIGHT = Unknown(Reason.CANCELLED)

Handler = Callable[[Exchange], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Rejection:
    """The answer to a request that is not passed to the handler, and what is counted."""

    status: int
    outcome: NotRun
    closing: Closing | None = None


MALFORMED = Rejection(400, NotRun(Reason.BAD_REQUEST))
NOT_SUPPORTED = Rejection(501, NotRun(Reason.BAD_REQUEST))
HEAD_TOO_LARGE = Rejection(431, NotRun(Reason.TOO_LARGE), Closing.LARGE_HEAD)
BODY_TOO_LARGE = Rejection(413, NotRun(Reason.TOO_LARGE), Closing.LARGE_BODY)
TOO_SLOW = Rejection(408, NotRun(Reason.TOO_SLOW), Closing.SLOW_HEAD)
BODY_TOO_SLOW = Rejection(408, NotRun(Reason.TOO_SLOW), Closing.SLOW_BODY)
# Another daemon sends it to another server then.
CROWDED_OUT = Rejection(REFUSED_STATUS, NO_MEMORY, Closing.CROWDED_OUT)
NO_MEMORY_LEFT = Rejection(REFUSED_STATUS, NO_MEMORY, Closing.MEMORY)


class _Rejected(Exception):
    """Ends the parsing of a connection."""

    def __init__(self, rejection: Rejection):
        super().__init__(rejection.outcome.reason)
        self.rejection = rejection


class ServerConnections(OpenConnections["ServerConnection"]):
    """The open connections of a server, and whether it stops.

    `quiet_from` is a time of the loop's clock: what arrived before says nothing of what is
    under way. `crossed` counts idle connections that sent something after they were closed.
    """

    def __init__(self, bounds: PortBounds):
        super().__init__(bounds)
        self.is_stopping = False
        self.quiet_from = -inf
        self.crossed = 0


class ServerConnection(Connection):
    """A connection from a caller or a peer; pipelined requests are answered in order.

    At most one request is parsed ahead of the one that is handled; what comes after it stays in
    `_rest` and in the socket.
    """

    def __init__(self, handler: Handler, connections: ServerConnections):
        super().__init__()
        self._handler = handler
        self._connections = connections
        self._bounds = connections.bounds
        # The parser takes its callback from the object. A list's method costs less than one of
        # this class, for bodies in very many chunks.
        self._body_parts: list[bytes] = []
        self.on_body = self._body_parts.append
        self._parser = httptools.HttpRequestParser(self)
        self._rest = b""  # received and not parsed
        self._target = b""  # of the head being received
        self._limits = RequestLimits()  # of the request being received
        self._share = Share(self._bounds.memory)  # of the request being received
        self._unreserved_bytes = 0  # memory of the head that `_share` does not include yet
        self._body_bytes = 0  # received of the current body
        self._body_left = 0  # of a body with a length: bytes that are still to come
        self._framing_bytes = 0  # received since the last bytes of a body in chunks
        self._waiting: deque[Exchange] = deque()  # queued behind the current request
        self._current: Exchange | None = None  # the request being handled
        self._incoming: Exchange | None = None  # the request whose body is being received
        self._awaits_turn = False  # whether the next request starts in a later turn
        self._task: asyncio.Task[None] | None = None  # runs the handler
        self._rejection: Rejection | None = None  # None: nothing is wrong
        self._rejected_exchange: Exchange | None = None  # the request with a malformed body
        self._incomplete_head_bytes = 0  # bytes received while the head was incomplete
        self._has_partial_head = False
        self._head_since = 0.0  # begin of a partial head, by the loop's clock
        self._received_at = 0.0  # when bytes were received last, by the loop's clock
        self._linger_timer: asyncio.TimerHandle | None = None  # runs once closed by this end
        self._ended_while_idle = False
        self.has_served = False  # whether a request was answered here
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
        self._received_at = asyncio.get_running_loop().time()
        self._mark_idle()
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler of the current request."""
        super().connection_lost(exc)
        self._connections.discard(self)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        if self._incoming is not None:
            self._incoming.body.mark_truncated()
        if self._task is not None:
            self._task.cancel()
        self._share.release()
        if self._current is not None:
            self._current.share.release()
        self._drop_queued()
        # It refers to this object: without the cycle both are freed at once, which counts when
        # connections are opened and closed in their thousands.
        del self._parser

    def data_received(self, data: bytes) -> None:
        """Parse what the read has received; a malformed request gets a 4xx and a close."""
        if len(data) >= LONG_READ_BYTES and not self._bounds.turns.take():
            self.pause(Pause.TURN)
            self._bounds.turns.wait(self._resume_turn)
        if self._linger_timer is not None:
            self._note_crossing()
            return
        if self._rejection is not None:
            return
        self._received_at = asyncio.get_running_loop().time()
        self._parse(self._rest + data if self._rest else data)

    def eof_received(self) -> bool:
        """Close when the caller closes its sending side."""
        return False

    def close(self) -> None:
        """Close the sending side after the send buffer is flushed, and read what still comes.

        The connection ends when the peer closes its side, or after `LINGER_SECONDS`.
        """
        if self.transport is None or self.transport.is_closing() or self._linger_timer:
            return
        self._drop_queued()  # the response before them announced the close
        if not self.transport.can_write_eof():  # TLS, which announces its end by itself
            self.transport.close()
            return
        try:
            self.transport.write_eof()
        except OSError as error:  # the peer has reset the connection
            logs.debug("connection-reset-at-close", error=repr(error))
            self.transport.abort()
            return
        self._linger_timer = asyncio.get_running_loop().call_later(
            LINGER_SECONDS, self.transport.close
        )
        self.resume(Pause.BODY | Pause.QUEUE)  # an unread body may have paused it

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

    def count(self, closing: Closing) -> None:
        self._connections.count(closing)

    def check(self, now: float) -> None:
        """Close the connection if it takes longer than the bounds allow."""
        limits = self._bounds.limits()
        if self._linger_timer is not None:
            return
        if self.blocked_seconds(now) > STALL_SECONDS:
            self.cut_off(Closing.SLOW_READER)
        elif self._rejection is not None:
            return
        elif self._has_partial_head and now - self._head_since > limits.head_seconds:
            self._reject(TOO_SLOW)
        elif self._is_body_stalled(now, limits.idle_seconds):
            self._reject(BODY_TOO_SLOW)
        elif self.is_unused and now - self.idle_since > limits.idle_seconds:
            self.count(Closing.IDLE)
            self.close()

    @property
    def is_unused(self) -> bool:
        """Whether nothing has begun to arrive since the last request."""
        return self.is_idle and not self._has_partial_head and self._incoming is None

    def _is_body_stalled(self, now: float, seconds: float) -> bool:
        """Whether a body that is waited for does not come."""
        if self._incoming is None or self._incoming.expects_continue or self._pauses:
            return False
        return now - self._received_at > seconds

    def expendability(self, now: float) -> Expendability | None:
        """How readily this connection makes room for another; None while it is served."""
        if self._linger_timer is not None:
            return Expendability(Rank.DONE, 0.0)
        if self._writable is not None:
            is_stalled = self.blocked_seconds(now) > PATIENCE_SECONDS
            return Expendability(Rank.DONE, self._blocked_since) if is_stalled else None
        if self._awaits_turn:
            return Expendability(Rank.WAITING, self._received_at)
        if self.is_unused and self.has_served:
            return Expendability(Rank.KEPT, self.idle_since)
        awaits_body = self._incoming is not None and self._incoming is self._current
        is_admitted = self._current is not None and self._current.admitted
        if not self.is_idle and (not awaits_body or is_admitted):
            return None
        is_fresh = now - self._received_at < FRESH_SECONDS
        return Expendability(Rank.FRESH if is_fresh else Rank.WAITING, self._received_at)

    def crowd_out(self) -> None:
        """Close at once, to make room for another connection."""
        assert self.transport is not None
        if not self.is_unused and self._linger_timer is None and self._writable is None:
            self._send_last(CROWDED_OUT.status, CROWDED_OUT.outcome)
        self.transport.close()

    def _drop_queued(self) -> None:
        """Discard what waits behind the current request."""
        for exchange in self._waiting:
            exchange.share.release()
        self._waiting.clear()
        self._rest = b""

    def _note_crossing(self) -> None:
        if self._ended_while_idle:
            self._ended_while_idle = False
            self._connections.crossed += 1

    def _send_last(self, status: int, outcome: NotRun | Unknown) -> None:
        """Respond outside of an exchange, and announce the close."""
        assert self.transport is not None
        head = ResponseHead(status, [(b"content-length", b"0")])
        head.headers.append((OUTCOME_HEADER, encode_outcome(outcome)))
        if isinstance(outcome, NotRun) and outcome.retry_after is not None:
            head.headers.append((b"retry-after", b"%g" % outcome.retry_after))
        self.transport.write(encode_response(head, chunked=False, close=True))

    # Parsing

    def _parse(self, data: bytes) -> None:
        """Parse up to the end of the data, or until enough requests wait."""
        position = 0
        while position < len(data) and self._rejection is None:
            if len(self._waiting) >= MAX_QUEUED:
                break
            end = self._end_of_piece(data, position)
            self._parse_piece(data[position:end] if (position or end < len(data)) else data)
            position = end
        self._rest = data[position:] if self._rejection is None else b""
        if len(self._rest) > AHEAD_BYTES:
            self.pause(Pause.QUEUE)

    def _end_of_piece(self, data: bytes, position: int) -> int:
        """The end of the next piece to parse, which completes at most one head (a few shortest
        ones after a body in chunks): the parser takes pieces whole.
        """
        if self._body_left:
            return min(len(data), position + self._body_left)
        skipped = 0 if self._incoming is None else MIN_CHUNKED_PIECE_BYTES
        end = data.find(END_OF_HEAD, position + skipped)
        return len(data) if end < 0 else end + len(END_OF_HEAD)

    def _parse_piece(self, piece: bytes) -> None:
        if self._body_left:
            self._body_left -= len(piece)
        try:
            self._parser.feed_data(piece)
            self._check_framing_size(len(piece))
            self._take_body_parts()
        except httptools.HttpParserUpgrade:
            self._reject(NOT_SUPPORTED)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self._reject(cause.rejection if isinstance(cause, _Rejected) else MALFORMED)
        except _Rejected as error:
            self._reject(error.rejection)
        except httptools.HttpParserError:
            self._reject(MALFORMED)
        else:
            self._check_head_size(len(piece))

    def _resume_turn(self) -> None:
        self.resume(Pause.TURN)

    def _parse_rest(self) -> None:
        """Parse what was received while requests waited, and read on."""
        if self._rest:
            rest, self._rest = self._rest, b""
            self._parse(rest)
        if len(self._rest) <= AHEAD_BYTES:
            self.resume(Pause.QUEUE)

    # httptools callbacks

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._target = b""
        self._incomplete_head_bytes = 0
        self._has_partial_head = True
        self._head_since = asyncio.get_running_loop().time()
        self._limits = self._bounds.limits()
        self._unreserved_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._target += url
        if len(self._target) > self._max_head_bytes:
            raise _Rejected(HEAD_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, whose memory counts too; trailers are dropped."""
        if not self._in_head:
            return
        size = len(name) + len(value) + FIELD_FRAME_BYTES
        self._head_bytes += size
        if self._head_bytes + len(self._target) > self._max_head_bytes:
            raise _Rejected(HEAD_TOO_LARGE)
        self._unreserved_bytes += size + FIELD_BYTES
        if self._unreserved_bytes > RESERVED_HEAD_STEP_BYTES:
            self._reserve(self._unreserved_bytes)
            self._unreserved_bytes = 0
        self._headers.append((name.lower(), value))

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
        self._reserve(self._unreserved_bytes)
        self._body_bytes = 0
        self._body_left = int(head.get(b"content-length") or b"0")
        if self._body_left > self._limits.body_bytes:
            raise _Rejected(BODY_TOO_LARGE)
        expects_continue = (head.get(b"expect") or b"").lower() == b"100-continue"
        body = Body(self.pause, self.resume)
        exchange = Exchange(self, head, body, expects_continue, self._share)
        self._forget_head()
        self._share = Share(self._bounds.memory)
        self._incoming = exchange
        self._waiting.append(exchange)
        # The handler task starts in the next loop iteration, after the parser has consumed all
        # received data.
        self._start_next()

    def on_message_complete(self) -> None:
        self._take_body_parts()
        if self._incoming is not None:
            self._incoming.body.finish()
            self._incoming = None
        self._in_head = True
        self._body_left = 0

    @property
    def _max_head_bytes(self) -> int:
        return self._limits.head_bytes + self._bounds.extra_head_bytes

    def _reserve(self, size: int) -> None:
        if not self._share.grow(size):
            raise _Rejected(NO_MEMORY_LEFT)

    def _take_body_parts(self) -> None:
        """Pass on what the parser has found of a body, within the bounds."""
        if not self._body_parts:
            return
        data = b"".join(self._body_parts)
        self._body_parts.clear()
        exchange = self._incoming
        if exchange is None:
            return
        buffered_before = min(self._body_bytes, BODY_BUFFER_BYTES)
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            raise _Rejected(BODY_TOO_LARGE)
        grown = min(self._body_bytes, BODY_BUFFER_BYTES) - buffered_before
        if grown and not exchange.share.grow(BODY_COPIES * grown):
            raise _Rejected(NO_MEMORY_LEFT)
        exchange.body.feed(data)

    # Request queue

    def _start_next(self, *, has_turn: bool = False) -> None:
        if self._current is not None or self.closed or self._linger_timer is not None:
            return
        if self._awaits_turn:
            return
        if not self._waiting:
            self._finish_or_wait()
            return
        is_long = len(self._waiting[0].head.headers) > LONG_HEAD_FIELDS
        if is_long and not has_turn and not self._bounds.turns.take(WORK_PER_TURN):
            self._wait_for_turn()
            return
        self._current = self._waiting.popleft()
        self._task = asyncio.get_running_loop().create_task(self._run(self._current))

    def _start_after(self) -> None:
        """After a request, start the next one. Those that were sent ahead start in turns."""
        if self._waiting and not self._bounds.turns.take():
            self._wait_for_turn()
            return
        self._start_next()
        self._parse_rest()

    def _wait_for_turn(self) -> None:
        is_long = len(self._waiting[0].head.headers) > LONG_HEAD_FIELDS
        self._awaits_turn = True
        self._bounds.turns.wait(self._begin_turn, WORK_PER_TURN if is_long else 1)

    def _begin_turn(self) -> None:
        self._awaits_turn = False
        self._start_next(has_turn=True)
        self._parse_rest()

    async def _run(self, exchange: Exchange) -> None:
        if self._rejection is not None and exchange is self._rejected_exchange:
            self._current = None
            self._finish_or_wait()
            return
        if self._connections.is_stopping and not self._waiting and not self._rest:
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
        finally:
            exchange.share.release()
        self._current = None
        self._task = None
        self.has_served = True
        if exchange.admitted:
            self._connections.prove(self)
        if not exchange.finished:
            self.abort()
        elif not exchange.head.keep_alive or not exchange.body.complete:
            self.close()
        else:
            # Resumes the socket, which an unread body may have paused.
            exchange.body.drop()
            self._start_after()

    def _finish_or_wait(self) -> None:
        """After the last queued request, reject malformed data or become idle."""
        if self._rejection is not None:
            self._send_last(self._rejection.status, self._rejection.outcome)
            self.close()
            return
        self._mark_idle()

    def _reject(self, rejection: Rejection) -> None:
        """Stop parsing; respond after the responses to all earlier requests."""
        self._rejection = rejection
        if rejection.closing is not None:
            self.count(rejection.closing)
        self._rejected_exchange = self._incoming
        self._has_partial_head = False
        self._forget_head()
        self._share.release()
        if self._incoming is not None:
            self._incoming.body.mark_truncated(rejection.outcome)
        self._start_next()

    def _forget_head(self) -> None:
        """Hold no head beyond its request: the connection may rest for long."""
        self._headers = []
        self._target = b""

    def _check_framing_size(self, received_bytes: int) -> None:
        """Reject a body in chunks whose framing never ends: the parser collects a trailer, and
        reports only complete ones.
        """
        if self._incoming is None or self._body_parts:
            self._framing_bytes = 0
            return
        self._framing_bytes += received_bytes
        if self._framing_bytes > self._max_head_bytes:
            raise _Rejected(HEAD_TOO_LARGE)

    def _check_head_size(self, received_bytes: int) -> None:
        """Reject a head that never ends: the parser reports only complete headers."""
        if self._incoming is None and self._has_partial_head:
            self._incomplete_head_bytes += received_bytes
            if self._incomplete_head_bytes > self._max_head_bytes + HEAD_SLACK_BYTES:
                self._reject(HEAD_TOO_LARGE)

    def _mark_idle(self) -> None:
        self.idle_since = asyncio.get_running_loop().time()
