"""A gRPC server whose connections have the bounds of a port."""

import asyncio
from collections.abc import Collection
from math import inf
from typing import Any

from grpclib._typing import IServable
from grpclib.config import Configuration
from grpclib.encoding.base import CodecBase
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from wheatslipd.http.bounds import (
    GRPC_CONNECTION_WINDOW_BYTES,
    GRPC_STREAM_WINDOW_BYTES,
    Closing,
    PortBounds,
)
from wheatslipd.http.serverconnections import (
    FRESH_SECONDS,
    CheckTask,
    Expendability,
    OpenConnections,
    Rank,
)


class BoundedServer(Server):
    """A server for the daemons that call this one."""

    def __init__(self, handlers: Collection[IServable], codec: CodecBase, bounds: PortBounds):
        config = Configuration(
            http2_connection_window_size=GRPC_CONNECTION_WINDOW_BYTES,
            http2_stream_window_size=GRPC_STREAM_WINDOW_BYTES,
        )
        super().__init__(handlers, codec=codec, config=config)
        self.connections: OpenConnections[_Connection] = OpenConnections(bounds)
        self._check = CheckTask(self.connections)

    async def start(self, *args: Any, **options: Any) -> None:
        """Listen, as `Server.start`."""
        await super().start(*args, **options)
        self._check.start()

    def close(self) -> None:
        """Stop listening, and close all connections."""
        self._check.stop()
        super().close()

    def _protocol_factory(self) -> H2Protocol:
        made = super()._protocol_factory()
        return _Connection(made, self.connections)


class _Connection(H2Protocol):
    """A connection, which is proven once it has carried a call."""

    def __init__(self, made: H2Protocol, connections: "OpenConnections[_Connection]"):
        super().__init__(made.handler, made.config, made.h2_config)
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._made_at = inf
        self._received_at = inf  # by the loop's clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "abort")
        self._transport = transport  # type: ignore[assignment]  # uvloop's has another base
        self._made_at = self._received_at = asyncio.get_running_loop().time()
        super().connection_made(transport)
        self._connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._connections.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        self._received_at = asyncio.get_running_loop().time()
        if self.processor.streams:
            self._connections.prove(self)

    def check(self, now: float) -> None:
        """Close a connection that carries no call for too long."""
        limits = self._connections.bounds.limits()
        if not self._connections.is_proven(self) and now - self._made_at > limits.head_seconds:
            self._connections.count(Closing.SLOW_HEAD)
            self.crowd_out()

    def expendability(self, now: float) -> Expendability | None:
        """How readily this connection makes room for another; None while it has calls."""
        if self.processor.streams:
            return None
        if self._connections.is_proven(self):
            return Expendability(Rank.KEPT, self._received_at)
        is_fresh = now - self._made_at < FRESH_SECONDS
        return Expendability(Rank.FRESH if is_fresh else Rank.WAITING, self._made_at)

    def crowd_out(self) -> None:
        """Close at once."""
        self.abort()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()
