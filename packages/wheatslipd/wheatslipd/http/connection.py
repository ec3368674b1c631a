"""Base class of server and client connections: flow control and header parsing."""

import asyncio
from typing import cast

# Limits of a message head, which bound its memory use.
MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 100


class HeadTooLarge(Exception):
    """A message head exceeds `MAX_HEAD_BYTES` or `MAX_HEADERS`."""


class Connection(asyncio.Protocol):
    """A connection that applies write flow control and collects headers."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self._writable: asyncio.Future[None] | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._in_head = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop transports do not derive from asyncio.Transport, so isinstance would fail.
        self.transport = cast(asyncio.Transport, transport)

    @property
    def peer_address(self) -> str:
        """IP address of the peer; empty if unknown."""
        name = self.transport.get_extra_info("peername") if self.transport else None
        return str(name[0]) if name else ""

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the waiting writer."""
        self.closed = True
        self.resume_writing()

    def pause_writing(self) -> None:
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    async def send(self, data: bytes) -> None:
        """Write, then wait while the send buffer is full; raises ConnectionError if closed."""
        if self.closed or self.transport is None:
            raise ConnectionResetError
        self.transport.write(data)
        if self._writable is not None:
            await self._writable
            if self.closed:
                raise ConnectionResetError

    def close(self) -> None:
        """Close after the send buffer is flushed."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close immediately and discard the send buffer."""
        if self.transport is not None:
            self.transport.abort()

    def pause(self) -> None:
        """Pause reading from the socket."""
        if not self.closed and self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading from the socket."""
        if not self.closed and self.transport is not None:
            self.transport.resume_reading()

    # httptools callbacks

    def on_message_begin(self) -> None:
        self._headers = []
        self._head_bytes = 0
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if not self._in_head:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES or len(self._headers) >= MAX_HEADERS:
            raise HeadTooLarge
        self._headers.append((name.lower(), value))
