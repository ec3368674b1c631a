"""Parses the requests of a connection, within the bounds of its port.

httptools takes what it is given whole, and reports heads, headers and trailers only once they
are complete. So it gets pieces that complete at most one head, and what it has not reported yet
is counted here.
"""

import asyncio
from collections.abc import Callable

import httptools

from wheatslipd.http.body import Body
from wheatslipd.http.bounds import (
    BODY_BUFFER_BYTES,
    BODY_COPIES,
    BODY_SOCKET_BYTES,
    FIELD_BYTES,
    HEAD_READ_BYTES,
    READ_BYTES,
    SOCKET_BUFFER_BYTES,
    PortBounds,
)
from wheatslipd.http.connection import Connection
from wheatslipd.http.exchange import Exchange
from wheatslipd.http.memory import Share
from wheatslipd.http.messages import Headers, RequestHead
from wheatslipd.http.rejections import (
    BODY_TOO_LARGE,
    HEAD_TOO_LARGE,
    MALFORMED,
    NO_MEMORY_LEFT,
    NOT_SUPPORTED,
    Rejection,
)

# In chunked bodies the end of a head is looked for from here on, so that bodies which contain
# such ends are not parsed in too many pieces.
MIN_CHUNKED_PIECE_BYTES = 128
END_OF_HEAD = b"\r\n\r\n"
RESERVED_HEAD_STEP_BYTES = 4096  # of the memory of a head, between two looks at the budget
# Above the limit of a head: bytes of the message before it that are parsed with it.
HEAD_SLACK_BYTES = 2 * MIN_CHUNKED_PIECE_BYTES
FIELD_FRAME_BYTES = 3  # a colon and a line break at least


class _Rejected(Exception):
    """Ends the parsing of a connection."""

    def __init__(self, rejection: Rejection):
        super().__init__(rejection.outcome.reason)
        self.rejection = rejection


class RequestParser:
    """Turns the bytes of one connection into exchanges."""

    def __init__(
        self,
        connection: Connection,
        bounds: PortBounds,
        on_request: Callable[[Exchange], None],
    ):
        """`on_request` is called with each request whose head is complete."""
        self._connection = connection
        self._bounds = bounds
        self._on_request = on_request
        # The parser takes its callback from the object. A list's method costs less than one of
        # this class, for bodies in very many chunks.
        self._body_parts: list[bytes] = []
        self.on_body = self._body_parts.append
        self._parser = httptools.HttpRequestParser(self)
        self.incoming: Exchange | None = None  # the request whose body is being received
        self.has_partial_head = False
        self.head_since = 0.0  # begin of a partial head, by the loop's clock
        # Of the head being received:
        self._target = b""
        self._headers: Headers = []
        self._head_bytes = 0  # of complete fields
        self._incomplete_bytes = 0  # received while it was incomplete
        self._share = Share(bounds.memory)
        self._unreserved_bytes = 0  # of its memory, that `_share` does not include yet
        self._is_in_head = False
        # Of the request being received:
        self._limits = bounds.limits()
        self._max_head_bytes = 0
        # Of the body being received:
        self._body_bytes = 0
        self._body_left = 0  # bytes that are still to come, if it has a length
        self._framing_bytes = 0  # received since its last bytes, if it is in chunks

    @property
    def next_read_bytes(self) -> int:
        """How much to read at once: bodies are passed on, but requests ahead have to wait."""
        if self._body_left:
            return max(HEAD_READ_BYTES, self._body_left)
        return READ_BYTES if self.incoming and self._is_body_long else HEAD_READ_BYTES

    @property
    def _is_body_long(self) -> bool:
        return self._body_bytes > HEAD_READ_BYTES

    def parse(self, data: bytes, position: int) -> int | Rejection:
        """Parse a piece of the data from `position` on; returns where it ends.

        It completes at most one head (a few shortest ones after a body in chunks).
        """
        end = self._end_of_piece(data, position)
        piece = data[position:end] if position or end < len(data) else data
        rejection = self._feed(piece)
        if rejection is None and self._has_endless_head(len(piece)):
            rejection = HEAD_TOO_LARGE
        return end if rejection is None else rejection

    def stop(self) -> None:
        """Hold nothing of a head that will not be completed."""
        self.has_partial_head = False
        self._forget_head()
        self._share.release()

    def close(self) -> None:
        """End the reference cycles with parser, request and connection: without them closed
        connections are freed at once, which counts when they come in their thousands.
        """
        self.stop()
        if self.incoming is not None:
            self.incoming.body.mark_truncated()
            self.incoming = None
        del self._parser, self._connection, self._on_request

    def _feed(self, piece: bytes) -> Rejection | None:
        if self._body_left:
            self._body_left -= len(piece)
        try:
            self._parser.feed_data(piece)
            self._check_framing_size(len(piece))
            self._take_body_parts()
        except httptools.HttpParserUpgrade:
            return NOT_SUPPORTED
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            return cause.rejection if isinstance(cause, _Rejected) else MALFORMED
        except _Rejected as error:
            return error.rejection
        except httptools.HttpParserError:
            return MALFORMED
        return None

    def _end_of_piece(self, data: bytes, position: int) -> int:
        if self._body_left:
            return min(len(data), position + self._body_left)
        skipped = 0 if self.incoming is None else MIN_CHUNKED_PIECE_BYTES
        end = data.find(END_OF_HEAD, position + skipped)
        return len(data) if end < 0 else end + len(END_OF_HEAD)

    def _has_endless_head(self, received_bytes: int) -> bool:
        """Whether a head goes on above its limit: the parser reports only complete headers."""
        if self.incoming is not None or not self.has_partial_head:
            return False
        self._incomplete_bytes += received_bytes
        return self._incomplete_bytes > self._max_head_bytes + HEAD_SLACK_BYTES

    def _check_framing_size(self, received_bytes: int) -> None:
        """Reject a body in chunks whose framing never ends: the parser collects a trailer, and
        reports only complete ones.
        """
        if self.incoming is None or self._body_parts:
            self._framing_bytes = 0
            return
        self._framing_bytes += received_bytes
        if self._framing_bytes > self._max_head_bytes:
            raise _Rejected(HEAD_TOO_LARGE)

    def _take_body_parts(self) -> None:
        """Pass on what the parser has found of a body, within the bounds."""
        if not self._body_parts:
            return
        data = b"".join(self._body_parts)
        self._body_parts.clear()
        exchange = self.incoming
        if exchange is None:
            return
        buffered_before = min(self._body_bytes, BODY_BUFFER_BYTES)
        was_long = self._is_body_long
        self._body_bytes += len(data)
        if self._is_body_long and not was_long:
            self._connection.set_receive_buffer(BODY_SOCKET_BYTES)
        if self._body_bytes > self._limits.body_bytes:
            raise _Rejected(BODY_TOO_LARGE)
        grown = min(self._body_bytes, BODY_BUFFER_BYTES) - buffered_before
        if grown and not exchange.share.grow(BODY_COPIES * grown):
            raise _Rejected(NO_MEMORY_LEFT)
        exchange.body.feed(data)

    def _reserve(self, size: int) -> None:
        if not self._share.grow(size):
            raise _Rejected(NO_MEMORY_LEFT)

    def _forget_head(self) -> None:
        """Hold no head beyond its request: the connection may rest for long."""
        self._headers = []
        self._target = b""

    # httptools callbacks

    def on_message_begin(self) -> None:
        self._forget_head()
        self._head_bytes = 0
        self._incomplete_bytes = 0
        self._unreserved_bytes = 0
        self._is_in_head = True
        self.has_partial_head = True
        self.head_since = asyncio.get_running_loop().time()
        self._limits = self._bounds.limits()
        self._max_head_bytes = self._limits.head_bytes + self._bounds.extra_head_bytes

    def on_url(self, url: bytes) -> None:
        self._target += url
        if len(self._target) > self._max_head_bytes:
            raise _Rejected(HEAD_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, whose memory counts too; trailers are dropped."""
        if not self._is_in_head:
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
        """Pass on the request."""
        self._is_in_head = False
        self.has_partial_head = False
        if self._parser.should_upgrade():
            # CONNECT or another protocol: the parser stops here, and `_feed` rejects it.
            return
        self._reserve(self._unreserved_bytes)
        head = RequestHead(
            self._parser.get_method(),
            self._target,
            self._headers,
            self._parser.should_keep_alive(),
            self._parser.get_http_version() == "1.0",
        )
        self._body_bytes = 0
        self._body_left = int(head.get(b"content-length") or b"0")
        if self._body_left > self._limits.body_bytes:
            raise _Rejected(BODY_TOO_LARGE)
        expects_continue = (head.get(b"expect") or b"").lower() == b"100-continue"
        body = Body(self._connection.pause, self._connection.resume)
        exchange = Exchange(self._connection, head, body, expects_continue, self._share)
        self._forget_head()
        self._share = Share(self._bounds.memory)
        self.incoming = exchange
        self._on_request(exchange)

    def on_message_complete(self) -> None:
        self._take_body_parts()
        if self.incoming is not None:
            self.incoming.body.finish()
            self.incoming = None
        if self._is_body_long:
            self._connection.set_receive_buffer(SOCKET_BUFFER_BYTES)
            self._body_bytes = 0
        self._body_left = 0
