"""HTTP/1.1 client connection that carries one request at a time."""

import asyncio
import errno
import socket

import httptools

from wheatslipd.http.body import Body
from wheatslipd.http.bounds import RESPONSE_BUFFER_BYTES
from wheatslipd.http.connection import Connection
from wheatslipd.http.matching import (
    UNNAMED,
    UNNAMED_REQUEST,
    Match,
    Naming,
    OnUnmatched,
    Question,
    ResponseMatcher,
    ignore_unmatched,
)
from wheatslipd.http.messages import (
    LAST_CHUNK,
    Headers,
    RequestHead,
    ResponseHead,
    encode_chunk,
    encode_request,
)

# Limits of a response's head, which bound its memory use.
MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 100
FIRST_FINAL_STATUS = 200  # lower HTTP statuses are interim responses
# For sent bytes. It must outlast a few lost packets, which would otherwise end a connection
# whose request may have run; with a longer one requests wait longer for a lost machine.
ACK_TIMEOUT_MS = 400
KEEPALIVE_SECONDS = 1  # before the first probe and between probes; the system's minimum
KEEPALIVE_PROBES = 2  # unanswered probes after which the connection is closed


class HeadTooLarge(Exception):
    """A response's head exceeds `MAX_HEAD_BYTES` or `MAX_HEADERS`."""


class Response:
    """A response head and its body."""

    __slots__ = ("body", "head")

    def __init__(self, head: ResponseHead, body: Body):
        self.head = head
        self.body = body


class ClientConnection(Connection):
    """A connection that carries one request at a time.

    The connection is closed if it receives bytes while no request is in flight: the two ends
    disagree on where messages start.
    """

    def __init__(
        self, naming: Naming = UNNAMED, on_unmatched: OnUnmatched = ignore_unmatched
    ) -> None:
        super().__init__()
        self._matcher = ResponseMatcher(naming, on_unmatched)
        self._question = UNNAMED_REQUEST  # of the next request; see `expect`
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []  # of the response being received
        self._head_bytes = 0
        self._is_in_head = False
        self._method = b""  # of the current request
        self._response: asyncio.Future[Response] | None = None
        self._continue: asyncio.Future[bool] | None = None  # see `wait_continue`
        self._body: Body | None = None  # of the response, once its head is received
        self._awaits_response = False  # until the response is complete
        self._is_request_sent = True  # whether the current request is sent completely
        self._reusable = True  # never set back to True: message boundaries may be lost
        self._body_until_close = False  # whether the end of the connection ends the body
        self._skips_response = False  # whether the current response answers an earlier request
        self._reason = b""  # phrase of the current response
        self.timed_out = False  # whether the connection ended with ETIMEDOUT
        # Whether it timed out so soon after a request that the request was not received.
        self.request_unacknowledged = False
        self._sent_at = 0.0  # start of the current request, by the loop's clock
        self.idle_since = 0.0  # by the loop's clock; set by the pool
        self.idle_seconds = 0.0  # before the pool last handed it out; 0: new

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent: the last exchange is complete and in sync."""
        return (
            self._reusable
            and not self.closed
            and not self._awaits_response
            and self._is_request_sent
            and not self._matcher.is_spent
            and (self._body is None or self._body.exhausted)
        )

    def may_carry(self, question: Question) -> bool:
        """Whether a response to `question` could be told apart from all others here."""
        return self._matcher.may_carry(question)

    def expect(self, question: Question) -> None:
        """Set what the next request is, which decides which response is taken for it."""
        self._question = question

    async def start(self, head: RequestHead) -> None:
        """Send the head of a request; `write` and `finish` send its body."""
        self._begin(head, is_request_sent=False)
        self._continue = asyncio.get_running_loop().create_future()
        await self.send(encode_request(head, chunked=True))

    async def start_with_body(self, head: RequestHead, body: bytes) -> None:
        """Send a request and its complete body in one write."""
        self._begin(head, is_request_sent=True)
        await self.send(encode_request(head, chunked=False) + body)

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        await self.send(encode_chunk(chunk))

    async def finish(self) -> None:
        """Send the end of the request body."""
        await self.send(LAST_CHUNK)
        self._is_request_sent = True

    async def wait_continue(self) -> bool:
        """Return True once the server sends 100 (Continue), False on a final response."""
        assert self._continue is not None
        return await self._continue

    async def response(self) -> Response:
        """Return the final response; raises ConnectionError if the connection ends first."""
        assert self._response is not None
        return await self._response

    def _begin(self, head: RequestHead, *, is_request_sent: bool) -> None:
        loop = asyncio.get_running_loop()
        self._matcher.begin(self._question)
        self._question = UNNAMED_REQUEST
        self._method = head.method
        self._sent_at = loop.time()
        self._awaits_response = True
        self._is_request_sent = is_request_sent
        self._body = None
        self._response = loop.create_future()
        self._continue = None

    # asyncio callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        _set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Feed the parser; malformed or unexpected data ends the connection."""
        if not self._awaits_response:
            self._matcher.on_unasked_bytes()
            self._fail_and_abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail_and_abort()

    def eof_received(self) -> bool:
        self._reusable = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight."""
        super().connection_lost(exc)
        self.timed_out = isinstance(exc, OSError) and exc.errno == errno.ETIMEDOUT
        # Once the request is acknowledged, only keepalive probes can time out, which takes at
        # least `KEEPALIVE_SECONDS`. An earlier timeout means that it was not acknowledged.
        is_before_keepalive = (
            asyncio.get_running_loop().time() - self._sent_at < KEEPALIVE_SECONDS
        )
        self.request_unacknowledged = self.timed_out and is_before_keepalive
        if self._body is not None and not self._body.complete:
            if exc is None and self._body_until_close:
                self._body.finish()
            else:
                self._body.mark_truncated()
        self._fail_pending()
        # Without the reference cycles all is freed at once, also what was received.
        if self._body is not None:
            self._body.detach()
        del self._parser

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reject a response that follows the awaited one without a pause."""
        self._headers = []
        self._head_bytes = 0
        self._is_in_head = True
        self._reason = b""
        if not self._awaits_response:
            self._matcher.on_unasked_bytes()
            raise ConnectionError("a response that no request waits for")

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if not self._is_in_head:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES or len(self._headers) >= MAX_HEADERS:
            raise HeadTooLarge
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Handle a complete response head; interim responses are skipped."""
        self._is_in_head = False
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            if status == 100 and self._continue is not None and not self._continue.done():
                self._continue.set_result(True)
            return
        assert self._body is None and self._response is not None
        match self._matcher.match(self._reason, self._headers):
            case Match.SKIPPED:
                self._skips_response = True
                return
            case Match.ENDS_CONNECTION:
                raise ConnectionError("the response may belong to another request")
        keep_alive = self._parser.should_keep_alive()
        head = ResponseHead(status, self._headers, keep_alive)
        self._headers = []  # the connection may rest for long
        # If the response came before the request was sent, the two ends may disagree on where
        # the next request begins.
        self._reusable = self._reusable and keep_alive and self._is_request_sent
        self._body_until_close = not self._has_framing(head)
        self._body = Body(self.pause, self.resume)
        if self._method == b"HEAD":
            # The parser cannot know that no body follows, so it cannot be reused.
            self._reusable = False
            self._awaits_response = False
            self._body.finish()
        if not self._response.done():
            self._response.set_result(Response(head, self._body))
        if self._continue is not None and not self._continue.done():
            self._continue.set_result(False)

    def on_body(self, chunk: bytes) -> None:
        if self._skips_response:
            return
        if self._method == b"HEAD":
            raise ConnectionError("response to HEAD has a body")
        if self._body is not None:
            self._body.feed(chunk)

    def on_message_complete(self) -> None:
        """Finish the response, unless it is an interim one."""
        if self._parser.get_status_code() < FIRST_FINAL_STATUS:
            return
        if self._skips_response:
            self._skips_response = False
            return
        if self._body is not None and not self._body.complete:
            self._body.finish()
        self._awaits_response = False

    @staticmethod
    def _has_framing(head: ResponseHead) -> bool:
        return (
            head.get(b"content-length") is not None
            or head.get(b"transfer-encoding") is not None
        )

    def _fail_and_abort(self) -> None:
        self._reusable = False
        if self._body is not None and not self._body.complete:
            self._body.mark_truncated()
        self._fail_pending()
        self.abort()

    def _fail_pending(self) -> None:
        error = ConnectionResetError("connection ended before the response was received")
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)
            self._response.exception()  # marks it as retrieved: there may be no reader left
        if self._continue is not None and not self._continue.done():
            self._continue.set_result(False)


def _set_socket_options(sock: socket.socket | None) -> None:
    """Bound what the system holds of a response that is not read, and detect an unreachable
    peer: set the acknowledgement timeout and keepalive probes.
    """
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RESPONSE_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS)
