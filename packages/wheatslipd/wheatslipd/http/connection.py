"""Base class of server and client connections: flow control."""

import asyncio
import socket
import struct
from collections.abc import Iterable
from enum import IntFlag
from typing import cast

from wheatslipd.http.bounds import READ_BYTES, WRITE_BUFFER_BYTES, Closing

_DISCARD_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


class Pause(IntFlag):
    """Why a connection's socket is not read."""

    NONE = 0
    BODY = 1  # the reader of a body has not kept up
    QUEUE = 2  # requests wait behind the current one
    TURN = 4  # others have their turn
    CUT_OFF = 8  # until it is closed


# What a read receives is parsed before the next read, so that all connections share the memory.
_read_buffer = memoryview(bytearray(READ_BYTES))


class Connection(asyncio.BufferedProtocol):
    """A connection that applies flow control."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self._writable: asyncio.Future[None] | None = None
        self._blocked_since = 0.0  # by the loop's clock; while `_writable` is set
        self._pauses = Pause.NONE

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop transports do not derive from asyncio.Transport, so isinstance would fail.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what a read has received."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        raise NotImplementedError

    @property
    def peer_address(self) -> str:
        """IP address of the peer; empty if unknown."""
        name = self.transport.get_extra_info("peername") if self.transport else None
        return str(name[0]) if name else ""

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the waiting writer."""
        self.closed = True
        self.resume_writing()

    def set_receive_buffer(self, size: int) -> None:
        """Set how much the system holds that was not read, in bytes."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def pause_writing(self) -> None:
        loop = asyncio.get_running_loop()
        self._writable = loop.create_future()
        self._blocked_since = loop.time()

    def resume_writing(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    async def send(self, data: bytes) -> None:
        """Write, then wait while the send buffer is full; raises ConnectionError if closed."""
        if self.closed or self.transport is None or self.transport.is_closing():
            raise ConnectionResetError
        self.transport.write(data)
        if self._writable is not None:
            await self._writable
            if self.closed:
                raise ConnectionResetError

    def blocked_seconds(self, now: float) -> float:
        """For how long the peer has not read enough to write on; 0 if it has."""
        return now - self._blocked_since if self._writable is not None else 0.0

    def close(self) -> None:
        """Close after the send buffer is flushed."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close immediately and discard the send buffer."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close immediately, and let the system discard what it holds too.

        After `abort` it would hold that for as long as the peer says that it can't read yet.
        """
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is not None and not self.closed:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_AT_CLOSE)
        self.abort()

    def count(self, closing: Closing) -> None:
        """Count that a bound was met; only the port of a server counts."""

    def cut_off(self, closing: Closing) -> None:
        """Close immediately because a bound was met."""
        self.count(closing)
        self.reset()

    def close_late(self) -> None:
        """Send nothing more, and close; the end of a server may do so later."""
        self.abort()

    def pause(self, why: Pause = Pause.BODY) -> None:
        """Pause reading from the socket, until `resume` for each reason."""
        was_paused = bool(self._pauses)
        self._pauses |= why
        if not was_paused and not self.closed and self.transport is not None:
            self.transport.pause_reading()

    def resume(self, why: Pause = Pause.BODY) -> None:
        """Resume reading from the socket, unless there is another reason for a pause."""
        was_paused = bool(self._pauses)
        self._pauses &= ~why
        if was_paused and not self._pauses and not self.closed and self.transport is not None:
            self.transport.resume_reading()


def slow_readers(connections: Iterable[Connection], patience: float) -> list[Connection]:
    """The connections whose peers have not read for more than `patience` seconds, those that
    have not for the longest time first.
    """
    now = asyncio.get_running_loop().time()
    slow = [c for c in connections if c.blocked_seconds(now) > patience]
    return sorted(slow, key=lambda connection: connection.blocked_seconds(now), reverse=True)
