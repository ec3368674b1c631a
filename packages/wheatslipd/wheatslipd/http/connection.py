"""What a server's and a client's connection share: flow control and the parser's callbacks."""

import asyncio
from typing import cast

# Bounds of a message's head; above what callers send, so that one can't fill the memory.
MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 100


class HeadTooLarge(Exception):
    """The head of a message is larger than we read."""


class Connection(asyncio.Protocol):
    """A connection with write-side flow control and collected headers."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self._writable: asyncio.Future[None] | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._in_head = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # uvloop's transports do not derive from asyncio's, so this can't be asserted.
        self.transport = cast(asyncio.Transport, transport)

    @property
    def peer_address(self) -> str:
        """The IP number of the other end; empty if there is none."""
        name = self.transport.get_extra_info("peername") if self.transport else None
        return str(name[0]) if name else ""

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the writers that wait."""
        self.closed = True
        self.resume_writing()

    def pause_writing(self) -> None:
        """The send buffer is full."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """The send buffer has room."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    async def send(self, data: bytes) -> None:
        """Write, and wait while the send buffer is full; raises ConnectionError if closed."""
        if self.closed or self.transport is None:
            raise ConnectionResetError
        self.transport.write(data)
        if self._writable is not None:
            await self._writable
            if self.closed:
                raise ConnectionResetError

    def close(self) -> None:
        """Send what is buffered, then close."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def pause(self) -> None:
        """Stop reading the socket."""
        if not self.closed and self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read the socket again."""
        if not self.closed and self.transport is not None:
            self.transport.resume_reading()

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        """A new message starts."""
        self._headers = []
        self._head_bytes = 0
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header; those behind the body (trailers) are dropped."""
        if not self._in_head:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES or len(self._headers) >= MAX_HEADERS:
            raise HeadTooLarge
        self._headers.append((name.lower(), value))
