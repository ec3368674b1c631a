"""A request on a server connection and its response."""

from collections.abc import Callable
from dataclasses import dataclass, field

from wheatslipd.http.body import Body
from wheatslipd.http.connection import Connection
from wheatslipd.http.memory import Share
from wheatslipd.http.messages import (
    LAST_CHUNK,
    NO_BODY_STATUSES,
    RequestHead,
    ResponseHead,
    encode_chunk,
    encode_response,
)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_BUFFERED_BYTES = 16 * 1024  # of a response, before it is flushed
MAX_WRITE_BYTES = 32 * 1024  # passed to the transport at once


@dataclass(slots=True, eq=False)
class Exchange:
    """A request on a server connection, with methods that send its response."""

    connection: Connection
    head: RequestHead
    body: Body
    expects_continue: bool
    share: Share  # of the memory for requests
    admitted: bool = False  # whether it is passed on, so that its caller may be waited for
    started: bool = False  # whether the response has begun
    finished: bool = False  # whether the response is complete
    _is_chunked: bool = False
    _has_no_body: bool = False  # whether the response has no body, regardless of its headers
    _buffered: list[bytes] = field(default_factory=list)  # sent by `flush`
    _buffered_bytes: int = 0

    async def send_continue(self) -> None:
        """Send 100 (Continue) if the client waits for it."""
        if self.expects_continue:
            self.expects_continue = False
            await self.connection.send(CONTINUE)

    def start(self, head: ResponseHead) -> None:
        """Begin the response; its head is buffered until `flush`.

        Without a content-length the body is chunked, or for HTTP/1.0 ends with the connection.
        """
        self.started = True
        has_length = head.get(b"content-length") is not None
        self._has_no_body = self.head.method == b"HEAD" or head.status in NO_BODY_STATUSES
        needs_framing = not has_length and not self._has_no_body
        self._is_chunked = needs_framing and not self.head.is_http_1_0
        # If the request body is incomplete, the next request may never be reached. The response
        # must announce the close, or the client sends its next request on a closing connection.
        must_close = not self.head.keep_alive or not self.body.complete
        must_close = must_close or (needs_framing and self.head.is_http_1_0)
        self.head.keep_alive = not must_close
        self._buffer(encode_response(head, chunked=self._is_chunked, close=must_close))

    async def write(self, chunk: bytes) -> None:
        """Add a chunk of the body; it is buffered until `MAX_BUFFERED_BYTES` or `flush`."""
        if self._has_no_body or not chunk:
            return
        # In parts: the transport copies what it can't send at once.
        for start in range(0, len(chunk), MAX_WRITE_BYTES):
            part = chunk[start : start + MAX_WRITE_BYTES]
            self._buffer(encode_chunk(part) if self._is_chunked else part)
            if self._buffered_bytes >= MAX_BUFFERED_BYTES:
                await self.flush()

    async def flush(self) -> None:
        """Send the buffered data; buffering saves packets and wake-ups of the client."""
        if self._buffered:
            data = b"".join(self._buffered)
            self._buffered.clear()
            self._buffered_bytes = 0
            await self.connection.send(data)

    async def finish(self) -> None:
        """End the response and flush it."""
        if self._is_chunked:
            self._buffer(LAST_CHUNK)
        await self.flush()
        self.finished = True

    async def relay(self, body: Body, on_chunk: Callable[[bytes], None] | None = None) -> None:
        """Stream a body to its end as it is received; raises `BodyTruncated` if that fails."""
        while True:
            if not body.is_readable:
                await self.flush()
            chunk = await body.read()
            if not chunk:
                break
            if on_chunk is not None:
                on_chunk(chunk)
            await self.write(chunk)
        await self.finish()

    async def respond(self, head: ResponseHead, body: bytes = b"") -> None:
        """Send a complete response with a small body."""
        head.headers.append((b"content-length", b"%d" % len(body)))
        self.start(head)
        await self.write(body)
        await self.finish()

    def _buffer(self, data: bytes) -> None:
        self._buffered.append(data)
        self._buffered_bytes += len(data)
