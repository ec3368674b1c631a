"""Stand-in for a link: forwards connections to one port, so many bytes a second, and may let
those that are open go silent.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass, field

PIECE = 8 * 1024  # bytes that go over the link at a time


@dataclass(slots=True)
class NarrowLink:
    """Bounds what comes back from `target` to those that connect here; what they send passes at
    once. All connections share `bytes_per_second`.

    `silence` lets the connections that are open now say nothing more for good, without an error
    at either end.
    """

    host: str
    target: int
    bytes_per_second: float
    port: int = 0
    carried: int = 0  # bytes that came back
    sent: int = 0  # bytes that went to `target`
    pieces: int = 0  # in which both went
    _server: asyncio.Server | None = None
    _sending: asyncio.Lock = field(default_factory=asyncio.Lock)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _silenced: asyncio.Event = field(default_factory=asyncio.Event)

    def silence(self) -> None:
        """Let open connections go silent for good; new ones work."""
        self._silenced.set()
        self._silenced = asyncio.Event()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._forward, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """End all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _forward(
        self, near_reader: asyncio.StreamReader, near_writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        # `close` cancels; asyncio's server logs a handler that ends so.
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.target)
            ways = [
                asyncio.create_task(self._send(near_reader, far_writer)),
                asyncio.create_task(self._carry(far_reader, near_writer)),
            ]
            try:
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for way in ways:
                    way.cancel()
                await asyncio.gather(*ways, return_exceptions=True)
                for writer in (far_writer, near_writer):
                    writer.transport.abort()
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)

    async def _send(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async for piece in self._pieces(reader):
            self.sent += len(piece)
            writer.write(piece)
            await writer.drain()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async for piece in self._pieces(reader):
            async with self._sending:
                await asyncio.sleep(len(piece) / self.bytes_per_second)
            self.carried += len(piece)
            writer.write(piece)
            await writer.drain()

    async def _pieces(self, reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
        """What is read until the connection ends; without an end once it is silent."""
        silenced = self._silenced
        with suppress(ConnectionError):
            while piece := await reader.read(PIECE):
                if silenced.is_set():
                    break
                self.pieces += 1
                yield piece
        if silenced.is_set():
            await asyncio.Event().wait()
