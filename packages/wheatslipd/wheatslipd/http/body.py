"""A message body as a stream of bytes with back-pressure on its socket."""

import asyncio
from collections.abc import AsyncIterator, Callable

from wheatslip.outcome import NotRun

from wheatslipd.http.bounds import BODY_BUFFER_BYTES

HIGH_WATER_BYTES = BODY_BUFFER_BYTES


class BodyTruncated(Exception):
    """The connection ended, or the body broke a bound, before the body was complete."""


class Body:
    """The received part of a body, fed by the connection and read by one reader.

    It is kept in one piece, however small the chunks are in which it comes.
    """

    def __init__(self, pause: Callable[[], None], resume: Callable[[], None]):
        self._pause = pause
        self._resume = resume
        self._received: bytes | bytearray = b""  # and not yet read
        self._is_paused = False
        self._is_truncated = False
        self._waiter: asyncio.Future[None] | None = None
        self.complete = False
        # Why the rest of the body is not received; None if the connection ended.
        self.refusal: NotRun | None = None

    @property
    def buffered_bytes(self) -> int:
        """Bytes received and not yet read."""
        return len(self._received)

    @property
    def exhausted(self) -> bool:
        """Whether the whole body has been received and read."""
        return self.complete and not self._received

    @property
    def is_readable(self) -> bool:
        """Whether `read` returns without waiting."""
        return bool(self._received) or self.complete

    @property
    def is_paused(self) -> bool:
        """Whether the reader has not kept up, so that the socket is not read."""
        return self._is_paused

    def feed(self, data: bytes) -> None:
        """Add received bytes; pauses the socket above `HIGH_WATER_BYTES`."""
        if not self._received:
            self._received = data
        else:
            if isinstance(self._received, bytes):
                self._received = bytearray(self._received)
            self._received += data
        if len(self._received) > HIGH_WATER_BYTES and not self._is_paused:
            self._is_paused = True
            self._pause()
        self._wake()

    def hold_back(self) -> None:
        """Receive nothing more until the next read that needs it."""
        if not self._is_paused and not self.complete:
            self._is_paused = True
            self._pause()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        self._wake()

    def detach(self) -> None:
        """Refer to the connection no longer, which has ended: both are then freed at once."""
        self._pause = self._resume = _do_nothing

    def mark_truncated(self, refusal: NotRun | None = None) -> None:
        """Record that nothing more comes; reading an incomplete body then fails."""
        if not self._is_truncated:
            self.refusal = refusal
        self._is_truncated = True
        self._wake()

    async def read(self) -> bytes:
        """Return what has been received, or empty bytes at the end of the body."""
        while not self._received:
            if self.complete:
                return b""
            self._resume_socket()  # see `hold_back`
            await self._wait()
        data = bytes(self._received)
        self._received = b""
        self._resume_socket()
        return data

    def drop(self) -> None:
        """Discard unread bytes and resume reading the socket."""
        self._received = b""
        self._resume_socket()

    async def read_up_to(self, limit: int) -> bytes:
        """Read until the end of the body or until at least `limit` bytes are read."""
        parts = []
        size = 0
        while size < limit:
            data = await self.read()
            if not data:
                break
            parts.append(data)
            size += len(data)
        return b"".join(parts)

    async def buffer_up_to(self, limit: int) -> None:
        """Wait, without reading, until the body is complete or `limit` bytes are buffered."""
        while not self.complete and self.buffered_bytes < limit:
            await self._wait()

    def peek(self, limit: int) -> bytes:
        """Return up to `limit` unread bytes without consuming them."""
        return bytes(self._received[:limit])

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the rest of the body."""
        while data := await self.read():
            yield data

    async def _wait(self) -> None:
        if self._is_truncated:
            raise BodyTruncated
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _resume_socket(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self._resume()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _do_nothing() -> None:
    pass
