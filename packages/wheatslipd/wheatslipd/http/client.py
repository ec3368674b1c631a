"""The client side of HTTP/1.1: one connection, with one request at a time."""

import asyncio
import errno
import socket

import httptools

from wheatslipd.http.body import Body
from wheatslipd.http.connection import Connection
from wheatslipd.http.messages import (
    LAST_CHUNK,
    RequestHead,
    ResponseHead,
    encode_chunk,
    encode_request,
)

INTERIM_LIMIT = 200  # HTTP statuses below it announce the final response
# Milliseconds for which sent bytes may be unacknowledged. Shorter, a few lost packets end a
# connection whose request may have run; longer, requests wait for a lost machine.
UNACKNOWLEDGED_MS = 400
# Seconds without traffic after which the other machine is probed, and between two probes, of
# which so many may be lost: the shortest that the system takes.
PROBE_SECONDS = 1
LOST_PROBES = 2


class Response:
    """A response head and its body."""

    __slots__ = ("body", "head")

    def __init__(self, head: ResponseHead, body: Body):
        self.head = head
        self.body = body


class ClientConnection(Connection):
    """A connection that carries one request at a time.

    Any byte that no request waits for means that the two ends no longer agree on where
    messages start, so the connection is closed and never used again.
    """

    def __init__(self) -> None:
        super().__init__()
        self._parser = httptools.HttpResponseParser(self)
        self._method = b""  # of the present request
        self._response: asyncio.Future[Response] | None = None
        self._continue: asyncio.Future[bool] | None = None  # see `wait_continue`
        self._body: Body | None = None  # of the response, once its head has come
        self._busy = False  # whether a response, or the rest of one, is still to come
        self._sent_all = True  # whether the present request is sent to its end
        self._reusable = True  # False for good once the two ends may no longer agree
        self._until_close = False  # whether the response's body ends with the connection
        self._echo: tuple[bytes, bytes] | None = None  # see `expect_echo`
        self._skipping = False  # whether the present response answers an earlier request
        self.timed_out = (
            False  # whether it ended because the other machine acknowledged nothing
        )
        # Whether it timed out so soon after a request that the request was not taken.
        self.request_unacknowledged = False
        self._sent_at = 0.0  # when the present request was begun, by the loop's clock
        self.idle_since = 0.0  # by the loop's clock; set by the pool
        self.rested = 0.0  # seconds that it had been idle when it was taken last; 0 if new

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent: all was sent, all was read, nothing extra."""
        return (
            self._reusable
            and not self.closed
            and not self._busy
            and self._sent_all
            and (self._body is None or self._body.exhausted)
        )

    def expect_echo(self, name: bytes, value: bytes) -> None:
        """The next response must carry a header with this value, if it carries it at all.

        One with another value answers an earlier request a second time and is passed over.
        """
        self._echo = (name, value)

    async def start(self, head: RequestHead) -> None:
        """Send the head of a request whose body follows by `write` and `finish`."""
        self._begin(head, sent_all=False)
        self._continue = asyncio.get_running_loop().create_future()
        await self.send(encode_request(head, chunked=True))

    async def start_with_body(self, head: RequestHead, body: bytes) -> None:
        """Send a request whose whole body is at hand in one write."""
        self._begin(head, sent_all=True)
        await self.send(encode_request(head, chunked=False) + body)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        await self.send(encode_chunk(chunk))

    async def finish(self) -> None:
        """The request is whole."""
        await self.send(LAST_CHUNK)
        self._sent_all = True

    async def wait_continue(self) -> bool:
        """True once the other end asks for the body, False if it answered instead."""
        assert self._continue is not None
        return await self._continue

    async def response(self) -> Response:
        """The final response; raises ConnectionError if the connection ends before it."""
        assert self._response is not None
        return await self._response

    def _begin(self, head: RequestHead, *, sent_all: bool) -> None:
        loop = asyncio.get_running_loop()
        self._method = head.method
        self._sent_at = loop.time()
        self._busy = True
        self._sent_all = sent_all
        self._body = None
        self._response = loop.create_future()
        self._continue = None

    # asyncio's callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and bound the time without a sign of the other machine."""
        super().connection_made(transport)
        _bound_unacknowledged(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Feed the parser; what is malformed or not awaited ends the connection."""
        if not self._busy:
            self._break()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._break()

    def eof_received(self) -> bool:
        """Bodies without a length end with the connection."""
        self._reusable = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what is under way."""
        super().connection_lost(exc)
        self.timed_out = isinstance(exc, OSError) and exc.errno == errno.ETIMEDOUT
        # Where a request was acknowledged only the probes time out, which takes longer.
        soon = asyncio.get_running_loop().time() - self._sent_at < PROBE_SECONDS
        self.request_unacknowledged = self.timed_out and soon
        if self._body is not None and not self._body.complete:
            if exc is None and self._until_close:
                self._body.finish()
            else:
                self._body.break_off()
        self._fail()

    # The parser's callbacks.

    def on_headers_complete(self) -> None:
        """A response head is whole; an interim one is passed over."""
        self._in_head = False
        status = self._parser.get_status_code()
        if status < INTERIM_LIMIT:
            if status == 100 and self._continue is not None and not self._continue.done():
                self._continue.set_result(True)
            return
        if self._is_stray():
            self._skipping = True
            return
        if self._body is not None or self._response is None:
            raise ConnectionError("a second response to one request")
        keep_alive = self._parser.should_keep_alive()
        head = ResponseHead(status, self._headers, keep_alive)
        # Behind an answer that came too early the two ends may not agree where the next
        # request begins.
        self._reusable = self._reusable and keep_alive and self._sent_all
        self._until_close = not self._has_framing(head)
        self._body = Body(self.pause, self.resume)
        if self._method == b"HEAD":
            # The parser can't know that no body follows, so it can't be used again.
            self._reusable = False
            self._busy = False
            self._body.finish()
        if not self._response.done():
            self._response.set_result(Response(head, self._body))
        if self._continue is not None and not self._continue.done():
            self._continue.set_result(False)

    def on_body(self, chunk: bytes) -> None:
        """A part of the body."""
        if self._skipping:
            return
        if self._method == b"HEAD":
            raise ConnectionError("a body in answer to HEAD")
        if self._body is not None:
            self._body.feed(chunk)

    def on_message_complete(self) -> None:
        """The response is whole, unless it was an interim one."""
        if self._parser.get_status_code() < INTERIM_LIMIT:
            return
        if self._skipping:
            self._skipping = False
            return
        if self._body is not None and not self._body.complete:
            self._body.finish()
        self._busy = False

    def _is_stray(self) -> bool:
        if self._echo is None or self._body is not None:
            return False
        name, value = self._echo
        echoed = next((v for n, v in self._headers if n == name), value)
        return echoed != value

    @staticmethod
    def _has_framing(head: ResponseHead) -> bool:
        return (
            head.get(b"content-length") is not None
            or head.get(b"transfer-encoding") is not None
        )

    def _break(self) -> None:
        self._reusable = False
        if self._body is not None and not self._body.complete:
            self._body.break_off()
        self._fail()
        self.abort()

    def _fail(self) -> None:
        error = ConnectionResetError("connection ended before the response")
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)
            self._response.exception()  # marks it as seen; a reader may have left already
        if self._continue is not None and not self._continue.done():
            self._continue.set_result(False)


def _bound_unacknowledged(sock: socket.socket | None) -> None:
    """End the connection when the other machine is gone: bytes that it does not acknowledge end
    it soon, and an idle connection is probed.
    """
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, LOST_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
