"""A message body as a stream of chunks with back-pressure on its socket."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

HIGH_WATER_BYTES = 64 * 1024  # buffered per body; above it the socket is not read


class BodyTruncated(Exception):
    """The connection ended before the body was complete."""


class Body:
    """A queue of chunks, fed by the connection and read by one reader."""

    def __init__(self, pause: Callable[[], None], resume: Callable[[], None]):
        self._pause = pause
        self._resume = resume
        self._chunks: deque[bytes] = deque()
        self.buffered_bytes = 0  # bytes received and not yet read
        self._is_paused = False
        self._is_truncated = False
        self._waiter: asyncio.Future[None] | None = None
        self.complete = False

    @property
    def exhausted(self) -> bool:
        """Whether the whole body has been received and read."""
        return self.complete and not self._chunks

    @property
    def is_readable(self) -> bool:
        """Whether `read` returns without waiting."""
        return bool(self._chunks) or self.complete

    def feed(self, chunk: bytes) -> None:
        """Add a chunk; pauses the socket above `HIGH_WATER_BYTES`."""
        self._chunks.append(chunk)
        self.buffered_bytes += len(chunk)
        if self.buffered_bytes > HIGH_WATER_BYTES and not self._is_paused:
            self._is_paused = True
            self._pause()
        self._wake()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        self._wake()

    def mark_truncated(self) -> None:
        """Record that the connection ended; reading an incomplete body then fails."""
        self._is_truncated = True
        self._wake()

    async def read(self) -> bytes:
        """Return the next chunk, or empty bytes at the end of the body."""
        while not self._chunks:
            if self.complete:
                return b""
            if self._is_truncated:
                raise BodyTruncated
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        chunk = self._chunks.popleft()
        self.buffered_bytes -= len(chunk)
        if self.buffered_bytes <= HIGH_WATER_BYTES // 2:
            self._resume_socket()
        return chunk

    def drop(self) -> None:
        """Discard unread chunks and resume reading the socket."""
        self._chunks.clear()
        self.buffered_bytes = 0
        self._resume_socket()

    async def read_up_to(self, limit: int) -> bytes:
        """Read until the end of the body or until at least `limit` bytes are read."""
        parts = []
        size = 0
        while size < limit:
            chunk = await self.read()
            if not chunk:
                break
            parts.append(chunk)
            size += len(chunk)
        return b"".join(parts)

    async def buffer_up_to(self, limit: int) -> None:
        """Wait, without reading, until the body is complete or `limit` bytes are buffered."""
        while not self.complete and self.buffered_bytes < limit:
            if self._is_truncated:
                raise BodyTruncated
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def peek(self, limit: int) -> bytes:
        """Return up to `limit` unread bytes without consuming them."""
        parts = []
        size = 0
        for chunk in self._chunks:
            parts.append(chunk)
            size += len(chunk)
            if size >= limit:
                break
        return b"".join(parts)[:limit]

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the rest of the body."""
        while chunk := await self.read():
            yield chunk

    def _resume_socket(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self._resume()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
