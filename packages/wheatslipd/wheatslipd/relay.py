"""Control data from daemon to daemon: serves followers from the cache, and follows a parent.

A stream stays open; updates go out when something changes, and a heartbeat when nothing does.
"""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import suppress
from typing import cast

import grpclib.const
import msgspec
from grpclib.client import Channel, UnaryStreamMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream
from wheatslip.feedcache import Cursor, FeedCache, Update
from wheatslip.instances import Instance

from wheatslipd.codec import StructCodec
from wheatslipd.tls import PeerTls

METHOD = "/wheatslip.Relay/Follow"
HEARTBEAT_SECONDS = 2.0
SILENCE_SECONDS = 5.0  # a parent that says nothing for so long is dead or frozen
MAX_FOLLOWERS = 64


class RelayServer:
    """Serves the followers of one daemon."""

    def __init__(self, cache: FeedCache, tls: PeerTls):
        self._cache = cache
        self._tls = tls
        self._changed = asyncio.Event()
        self._codec = StructCodec()
        self._server = Server([self], codec=self._codec)
        self.followers = 0
        self.port = 0

    @property
    def sent_bytes(self) -> int:
        """Bytes of the messages sent to followers, without the transport's own."""
        return self._codec.encoded_bytes

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """The methods, as grpclib wants them."""
        cardinality = grpclib.const.Cardinality.UNARY_STREAM
        return {METHOD: grpclib.const.Handler(self._follow, cardinality, Cursor, Update)}

    async def listen(self, host: str, port: int) -> None:
        """Listen; `port` 0 takes a free one. Raises OSError."""
        await self._server.start(host, port, ssl=self._tls.server)
        # grpclib does not tell the port otherwise.
        server = cast(asyncio.Server, self._server._server)
        self.port = server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the streams."""
        self._server.close()
        await self._server.wait_closed()

    def announce(self) -> None:
        """The cache has changed: wake the streams."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _follow(self, stream: "Stream[Cursor, Update]") -> None:
        cursor = await stream.recv_message()
        if cursor is None:
            return
        if self.followers >= MAX_FOLLOWERS:
            raise GRPCError(grpclib.const.Status.RESOURCE_EXHAUSTED)
        self.followers += 1
        try:
            while True:
                changed = self._changed
                update = self._cache.since(cursor)
                await stream.send_message(update)
                cursor = _advance(cursor, update)
                with suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_SECONDS):
                        await changed.wait()
        finally:
            self.followers -= 1


def _advance(cursor: Cursor, update: Update) -> Cursor:
    bundle = update.head.version if update.head else cursor.bundle
    return Cursor(cursor.follower, bundle, update.listed)


async def follow_parent(
    parent: Instance, cursor: Cursor, tls: PeerTls
) -> AsyncGenerator[Update, None]:
    """The updates of one parent; ends when it fails, falls silent or talks nonsense."""
    channel = Channel(parent.address, parent.control_port, codec=StructCodec(), ssl=tls.client)
    method: UnaryStreamMethod[Cursor, Update] = UnaryStreamMethod(
        channel, METHOD, Cursor, Update
    )
    try:
        async with method.open() as stream:
            async with asyncio.timeout(SILENCE_SECONDS):
                await stream.send_message(cursor, end=True)
            while True:
                async with asyncio.timeout(SILENCE_SECONDS):
                    update = await stream.recv_message()
                if update is None:
                    return
                yield update
    except (OSError, TimeoutError, GRPCError, StreamTerminatedError, msgspec.DecodeError):
        return
    finally:
        channel.close()
