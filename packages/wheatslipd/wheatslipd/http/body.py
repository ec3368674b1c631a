"""A message body as a stream of chunks with back-pressure on the socket it comes from."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

# Bytes held before the socket is no longer read; each request under way may hold as many.
HIGH_WATER = 64 * 1024


class BodyBroken(Exception):
    """The connection ended before the body did."""


class Body:
    """Chunks that the connection feeds and one reader takes."""

    def __init__(self, pause: Callable[[], None], resume: Callable[[], None]):
        self._pause = pause
        self._resume = resume
        self._chunks: deque[bytes] = deque()
        self.held = 0  # bytes that have come and are not read
        self._paused = False
        self._broken = False
        self._waiter: asyncio.Future[None] | None = None
        self.complete = False

    @property
    def exhausted(self) -> bool:
        """Whether all of the body has come and been read."""
        return self.complete and not self._chunks

    @property
    def has_more_now(self) -> bool:
        """Whether `read` returns without waiting."""
        return bool(self._chunks) or self.complete

    def feed(self, chunk: bytes) -> None:
        """Add a chunk; stops the socket when too much is held."""
        self._chunks.append(chunk)
        self.held += len(chunk)
        if self.held > HIGH_WATER and not self._paused:
            self._paused = True
            self._pause()
        self._wake()

    def finish(self) -> None:
        """The body is whole."""
        self.complete = True
        self._wake()

    def break_off(self) -> None:
        """The connection ended; a reader meets `BodyBroken` unless the body is whole."""
        self._broken = True
        self._wake()

    async def read(self) -> bytes:
        """The next chunk; empty at the end."""
        while not self._chunks:
            if self.complete:
                return b""
            if self._broken:
                raise BodyBroken
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        chunk = self._chunks.popleft()
        self.held -= len(chunk)
        if self.held <= HIGH_WATER // 2:
            self._read_socket_again()
        return chunk

    def drop(self) -> None:
        """Forget what is not read, so that the socket is read again."""
        self._chunks.clear()
        self.held = 0
        self._read_socket_again()

    async def read_up_to(self, limit: int) -> bytes:
        """Bytes until the end of the body or until `limit` or more have come."""
        parts = []
        size = 0
        while size < limit:
            chunk = await self.read()
            if not chunk:
                break
            parts.append(chunk)
            size += len(chunk)
        return b"".join(parts)

    async def hold_up_to(self, limit: int) -> None:
        """Wait, without reading, until the body is whole or `limit` bytes of it have come."""
        while not self.complete and self.held < limit:
            if self._broken:
                raise BodyBroken
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def peek(self, limit: int) -> bytes:
        """The first bytes that have come and are not read, at most `limit`; they stay."""
        parts = []
        size = 0
        for chunk in self._chunks:
            parts.append(chunk)
            size += len(chunk)
            if size >= limit:
                break
        return b"".join(parts)[:limit]

    async def chunks(self) -> AsyncIterator[bytes]:
        """The rest of the body."""
        while chunk := await self.read():
            yield chunk

    def _read_socket_again(self) -> None:
        if self._paused:
            self._paused = False
            self._resume()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
