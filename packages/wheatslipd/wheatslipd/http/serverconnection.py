"""A server's end of a connection: pipelined requests are answered in order.

No connection is closed with bytes that were not read: the system would then reset it, and
the peer could lose the answer. `http/bounds` has what a connection may send, hold and take.
"""

import asyncio
import traceback
from collections import deque
from collections.abc import Awaitable, Callable
from math import inf

from wheatslip.hop import OUTCOME_HEADER, encode_outcome
from wheatslip.outcome import NotRun, Reason, Unknown
from wheatslip.retryafter import STOPPING

from wheatslipd.http.bounds import (
    AHEAD_BYTES,
    MAX_QUEUED,
    PATIENCE_SECONDS,
    READ_BYTES,
    SOCKET_BUFFER_BYTES,
    STALL_SECONDS,
    Closing,
    PortBounds,
)
from wheatslipd.http.connection import Connection, Pause
from wheatslipd.http.exchange import Exchange
from wheatslipd.http.messages import ResponseHead, encode_response
from wheatslipd.http.rejections import (
    BODY_TOO_SLOW,
    CROWDED_OUT,
    HEAD_TOO_SLOW,
    REFUSED_STATUS,
    Rejection,
)
from wheatslipd.http.requestparser import RequestParser
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
LONG_HEAD_FIELDS = 200  # a request with more starts in a turn of its own
UNKNOWN_STATUS = 502
STOPPED_IN_FLIGHT = Unknown(Reason.CANCELLED)

Handler = Callable[[Exchange], Awaitable[None]]


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
        self._parser = RequestParser(self, self._bounds, self._queue)
        self._rest = b""  # received and not parsed
        self._waiting: deque[Exchange] = deque()  # queued behind the current request
        self._current: Exchange | None = None  # the request being handled
        self._turn_rank: Rank | None = None  # while the next request waits for its turn
        self._task: asyncio.Task[None] | None = None  # runs the handler
        self._rejection: Rejection | None = None  # None: nothing is wrong
        self._rejected_exchange: Exchange | None = None  # the request with a malformed body
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
        expected = QUIET_IN_HEAD_SECONDS if self._parser.has_partial_head else QUIET_SECONDS
        quiet_since = max(self._received_at, self._connections.quiet_from)
        return self.is_idle and now - quiet_since >= expected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        # Whatever the system does not take at once shows that the peer does not keep up.
        assert self.transport is not None
        self.transport.set_write_buffer_limits(0)
        self.set_receive_buffer(SOCKET_BUFFER_BYTES)
        self._received_at = asyncio.get_running_loop().time()
        self._mark_idle()
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler of the current request."""
        super().connection_lost(exc)
        self._bounds.blocked.discard(self)
        self._connections.discard(self)
        self._parser.close()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        if self._task is not None:
            self._task.cancel()
        if self._current is not None:
            self._current.share.release()
            self._current = None  # it refers to this connection
        self._rejected_exchange = None
        self._drop_queued()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read: a small one for what may have to wait."""
        return super().get_buffer(sizehint)[: self._parser.next_read_bytes]

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
            LINGER_SECONDS, self._close_now
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
        elif self._parser.has_partial_head:
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

    def pause_writing(self) -> None:
        super().pause_writing()
        self._bounds.blocked.add(self)

    def resume_writing(self) -> None:
        super().resume_writing()
        self._bounds.blocked.discard(self)

    def give_up(self) -> None:
        self.cut_off(Closing.SLOW_READER)

    def count(self, closing: Closing) -> None:
        self._connections.count(closing)

    def close_late(self) -> None:
        """Send nothing more of an answer that is not read, and close in `STALL_SECONDS`.

        A caller that does not read comes again as soon as its connection ends.
        """
        if self._linger_timer is not None or self.closed:
            return
        loop = asyncio.get_running_loop()
        self._linger_timer = loop.call_later(STALL_SECONDS, self.reset)
        self.pause(Pause.CUT_OFF)
        self._drop_queued()
        if self._task is not None:
            self._task.cancel()

    def check(self, now: float) -> None:
        """Close the connection if it takes longer than the bounds allow."""
        limits = self._bounds.limits()
        if self._linger_timer is not None:
            return
        if self.blocked_seconds(now) > STALL_SECONDS:
            self.cut_off(Closing.SLOW_READER)
        elif self._rejection is not None:
            return
        elif (
            self._parser.has_partial_head
            and now - self._parser.head_since > limits.head_seconds
        ):
            self._reject(HEAD_TOO_SLOW)
        elif self._is_body_stalled(now, limits.idle_seconds):
            self._reject(BODY_TOO_SLOW)
        elif self.is_unused and now - self.idle_since > limits.idle_seconds:
            self.count(Closing.IDLE)
            self.close()

    @property
    def is_unused(self) -> bool:
        """Whether nothing has begun to arrive since the last request."""
        return (
            self.is_idle and not self._parser.has_partial_head and self._parser.incoming is None
        )

    def _is_body_stalled(self, now: float, seconds: float) -> bool:
        """Whether a body that is waited for does not come."""
        if (
            self._parser.incoming is None
            or self._parser.incoming.expects_continue
            or self._pauses
        ):
            return False
        return now - self._received_at > seconds

    def expendability(self, now: float) -> Expendability | None:
        """How readily this connection makes room for another; None while it is served."""
        if self._linger_timer is not None:
            return Expendability(Rank.DONE, 0.0)
        if self._writable is not None:
            is_stalled = self.blocked_seconds(now) > PATIENCE_SECONDS
            return Expendability(Rank.DONE, self._blocked_since) if is_stalled else None
        if self._turn_rank is not None:
            return Expendability(self._turn_rank, self._received_at)
        if self.is_unused and self.has_served:
            return Expendability(Rank.KEPT, self.idle_since)
        awaits_body = (
            self._parser.incoming is not None and self._parser.incoming is self._current
        )
        is_admitted = self._current is not None and self._current.admitted
        if not self.is_idle and (not awaits_body or is_admitted):
            return None
        is_fresh = now - self._received_at < FRESH_SECONDS
        return Expendability(Rank.FRESH if is_fresh else Rank.WAITING, self._received_at)

    def crowd_out(self) -> None:
        """Close at once, to make room for another connection."""
        if not self.is_unused and self._linger_timer is None and self._writable is None:
            self._send_last(CROWDED_OUT.status, CROWDED_OUT.outcome)
        self._close_now()

    def _close_now(self) -> None:
        """Close, without waiting for a peer that does not read."""
        assert self.transport is not None
        if self.transport.get_write_buffer_size():
            self.reset()
        else:
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
        """Parse up to the end of the data, or until enough requests wait.

        The parser is not reentrant, so nothing that it calls may parse.
        """
        position = 0
        while position < len(data) and len(self._waiting) < MAX_QUEUED:
            parsed = self._parser.parse(data, position)
            if isinstance(parsed, Rejection):
                self._reject(parsed)
                return
            position = parsed
        self._rest = data[position:]
        if len(self._rest) > AHEAD_BYTES:
            self.pause(Pause.QUEUE)

    def _resume_turn(self) -> None:
        self.resume(Pause.TURN)

    def _parse_rest(self) -> None:
        """Parse what was received while requests waited, and read on."""
        if self._rest:
            rest, self._rest = self._rest, b""
            self._parse(rest)
        if len(self._rest) <= AHEAD_BYTES:
            self.resume(Pause.QUEUE)

    # Request queue

    def _queue(self, exchange: Exchange) -> None:
        self._waiting.append(exchange)
        # The handler task starts in the next loop iteration, after the parser has consumed all
        # received data.
        self._start_next()

    def _start_next(self, *, has_turn: bool = False, is_ahead: bool = False) -> None:
        """Start the next queued request, if none is handled.

        One that was sent ahead of the answer before it, has a long head or is the first of its
        connection waits for its turn, so that callers that were served before go first.
        """
        if self._current is not None or self.closed or self._linger_timer is not None:
            return
        if self._turn_rank is not None:
            return
        if not self._waiting:
            self._finish_or_wait()
            return
        is_long = len(self._waiting[0].head.headers) > LONG_HEAD_FIELDS
        work = WORK_PER_TURN if is_long else 1
        turns = self._bounds.turns if is_long or is_ahead else self._bounds.first_turns
        is_in_turn = is_long or is_ahead or not self.has_served
        if is_in_turn and not has_turn and not turns.take(work):
            self._turn_rank = Rank.WAITING if is_long or is_ahead else Rank.FIRST
            turns.wait(self._begin_turn, work)
            return
        self._current = self._waiting.popleft()
        self._task = asyncio.get_running_loop().create_task(self._run(self._current))

    def _begin_turn(self) -> None:
        self._turn_rank = None
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
            self._current = None  # a stop need not wait for it
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
        if not exchange.finished and self._writable is not None:
            self.close_late()
        elif not exchange.finished:
            self.abort()
        elif not exchange.head.keep_alive or not exchange.body.complete:
            self.close()
        else:
            # Resumes the socket, which an unread body may have paused.
            exchange.body.drop()
            self._start_next(is_ahead=True)
            self._parse_rest()

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
        self._rest = b""
        self._parser.stop()
        self._rejected_exchange = self._parser.incoming
        if self._rejected_exchange is not None:
            self._rejected_exchange.body.mark_truncated(rejection.outcome)
        self._start_next()

    def _mark_idle(self) -> None:
        self.idle_since = asyncio.get_running_loop().time()
