"""One request on a server connection, and the means to answer it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from wheatslipd.http.body import Body
from wheatslipd.http.connection import Connection
from wheatslipd.http.messages import (
    LAST_CHUNK,
    NO_BODY_STATUSES,
    RequestHead,
    ResponseHead,
    encode_chunk,
    encode_response,
)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Bytes of a response that wait for more before they are sent.
HOLD_AT_MOST = 16 * 1024


@dataclass(slots=True, eq=False)
class Exchange:
    """One request on a server connection, and the means to answer it."""

    connection: Connection
    head: RequestHead
    body: Body
    expects_continue: bool
    started: bool = False  # whether a response has begun
    finished: bool = False  # whether the response is whole
    _chunked: bool = False
    _bodyless: bool = False  # the response has no body, whatever its headers say
    _held: list[bytes] = field(default_factory=list)  # what `flush` will send
    _held_size: int = 0  # bytes

    async def send_continue(self) -> None:
        """Ask the sender for its body, if it waits for a 100 (Continue)."""
        if self.expects_continue:
            self.expects_continue = False
            await self.connection.send(CONTINUE)

    def start(self, head: ResponseHead) -> None:
        """Begin the response; the head is sent with what follows, see `flush`.

        Without a content-length the body is chunked, or for HTTP/1.0 ends with the connection.
        """
        self.started = True
        has_length = head.get(b"content-length") is not None
        self._bodyless = self.head.method == b"HEAD" or head.status in NO_BODY_STATUSES
        needs_framing = not has_length and not self._bodyless
        self._chunked = needs_framing and not self.head.is_http_1_0
        # A body that has not come yet may never be read, so the next request could not be found
        # behind it. The response must announce the close, or the other end sends its next
        # request into a closing connection.
        close = not self.head.keep_alive or not self.body.complete
        close = close or (needs_framing and self.head.is_http_1_0)
        self.head.keep_alive = not close
        self._hold(encode_response(head, chunked=self._chunked, close=close))

    async def write(self, chunk: bytes) -> None:
        """Add a part of the body; it may be held until more has come, see `flush`."""
        if self._bodyless or not chunk:
            return
        self._hold(encode_chunk(chunk) if self._chunked else chunk)
        if self._held_size >= HOLD_AT_MOST:
            await self.flush()

    async def flush(self) -> None:
        """Send what is held. One packet wakes the other end once, so small parts wait."""
        if self._held:
            data = b"".join(self._held)
            self._held.clear()
            self._held_size = 0
            await self.connection.send(data)

    async def finish(self) -> None:
        """The response is whole."""
        if self._chunked:
            self._hold(LAST_CHUNK)
        await self.flush()
        self.finished = True

    async def relay(self, body: Body, on_chunk: Callable[[bytes], None] | None = None) -> None:
        """Send a body as it comes, to its end; raises BodyBroken if it is broken off."""
        while True:
            if not body.has_more_now:
                await self.flush()
            chunk = await body.read()
            if not chunk:
                break
            if on_chunk is not None:
                on_chunk(chunk)
            await self.write(chunk)
        await self.finish()

    async def respond(self, head: ResponseHead, body: bytes = b"") -> None:
        """Send a whole small response."""
        head.headers.append((b"content-length", b"%d" % len(body)))
        self.start(head)
        await self.write(body)
        await self.finish()

    def _hold(self, data: bytes) -> None:
        self._held.append(data)
        self._held_size += len(data)
