"""Stand-in for a network link with limited bandwidth, whose connections can be silenced.

It can also lose what goes one way.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass, field

CHUNK_BYTES = 8 * 1024  # the largest unit that the link forwards


@dataclass(frozen=True, slots=True)
class _Source:
    """Where a connection comes from, and the events that silence it."""

    address: str
    silenced: tuple[asyncio.Event, ...]

    @property
    def is_silenced(self) -> bool:
        return any(event.is_set() for event in self.silenced)


@dataclass(slots=True)
class ThrottledLink:
    """Forwards connections to the port `target` and limits the rate of the bytes from there.

    All connections share `bytes_per_second`. Bytes to `target` are not limited.
    """

    host: str
    target: int
    bytes_per_second: float
    port: int = 0
    bytes_from_target: int = 0  # bytes from `target`
    bytes_to_target: int = 0  # bytes to `target`
    chunk_count: int = 0  # chunks in both directions
    withheld_count: int = 0  # chunks that a silenced or blocked connection did not forward
    withheld_by_source: dict[str, int] = field(default_factory=dict)  # the same, by address
    is_blocked: bool = False  # new connections are accepted and say nothing
    drops_to_target: bool = False  # bytes to `target` are lost; those from there arrive
    blocked_sources: set[str] = field(default_factory=set)  # the same for those from there
    _server: asyncio.Server | None = None
    _rate_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _silenced: asyncio.Event = field(default_factory=asyncio.Event)
    # By source address, for the connections from it.
    _silenced_sources: dict[str, asyncio.Event] = field(default_factory=dict)

    def silence(self) -> None:
        """Stop forwarding on the open connections, without closing them; new ones work."""
        self._silenced.set()
        self._silenced = asyncio.Event()

    def block(self) -> None:
        """Stop forwarding on open and new connections, until `unblock`."""
        self.is_blocked = True
        self.silence()

    def unblock(self) -> None:
        """Let new connections work; those from before stay silent."""
        self.is_blocked = False

    def block_source(self, address: str) -> None:
        """Do the same to the connections from an address, until `unblock_source`."""
        self.blocked_sources.add(address)
        self._silenced_sources.pop(address, asyncio.Event()).set()

    def unblock_source(self, address: str) -> None:
        """Let new connections from there work; those from before stay silent."""
        self.blocked_sources.discard(address)

    async def open(self) -> None:
        """Listen on a free port, set as `port`."""
        self._server = await asyncio.start_server(self._forward, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _forward(
        self, client_reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        source = self._source_of(client_writer)
        # `close` cancels this task; asyncio logs an error if a cancellation leaves the handler.
        try:
            if self.is_blocked or source.address in self.blocked_sources:
                await self._withhold(source, client_reader)
                client_writer.transport.abort()
                return
            try:
                target_reader, target_writer = await asyncio.open_connection(
                    self.host, self.target
                )
            except ConnectionError:  # the target has stopped listening
                client_writer.transport.abort()
                return
            directions = [
                asyncio.create_task(
                    self._forward_to_target(source, client_reader, target_writer)
                ),
                asyncio.create_task(
                    self._forward_to_client(source, target_reader, client_writer)
                ),
            ]
            try:
                await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for direction in directions:
                    direction.cancel()
                await asyncio.gather(*directions, return_exceptions=True)
                for writer in (target_writer, client_writer):
                    writer.transport.abort()
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)

    def _source_of(self, writer: asyncio.StreamWriter) -> _Source:
        address = writer.get_extra_info("peername")[0]
        by_address = self._silenced_sources.setdefault(address, asyncio.Event())
        return _Source(address, (self._silenced, by_address))

    async def _withhold(self, source: _Source, reader: asyncio.StreamReader) -> None:
        """Read and drop what the client sends until it closes the connection."""
        with suppress(ConnectionError):
            while await reader.read(CHUNK_BYTES):
                self._count_withheld(source)

    def _count_withheld(self, source: _Source) -> None:
        self.withheld_count += 1
        count = self.withheld_by_source.get(source.address, 0)
        self.withheld_by_source[source.address] = count + 1

    async def _forward_to_target(
        self, source: _Source, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        async for chunk in self._read_chunks(source, reader):
            if self.drops_to_target:
                self._count_withheld(source)
                continue
            self.bytes_to_target += len(chunk)
            writer.write(chunk)
            await writer.drain()

    async def _forward_to_client(
        self, source: _Source, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        async for chunk in self._read_chunks(source, reader):
            async with self._rate_lock:
                await asyncio.sleep(len(chunk) / self.bytes_per_second)
            self.bytes_from_target += len(chunk)
            writer.write(chunk)
            await writer.drain()

    async def _read_chunks(
        self, source: _Source, reader: asyncio.StreamReader
    ) -> AsyncIterator[bytes]:
        """Read until the connection ends; blocks forever once the connection is silenced."""
        with suppress(ConnectionError):
            while chunk := await reader.read(CHUNK_BYTES):
                if source.is_silenced:
                    self._count_withheld(source)
                    break
                self.chunk_count += 1
                yield chunk
        if source.is_silenced:
            await asyncio.Event().wait()
