"""Updates from daemon to daemon: serves followers from the cache, and follows a parent.

A stream stays open. An update goes out when something changes, and as a heartbeat when nothing
does. Each is sent in chunks, so that an update that takes long on a narrow link is not mistaken
for a silent parent.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import suppress
from typing import cast

import grpclib.const
import msgspec
from grpclib.client import Channel, UnaryStreamMethod, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream
from result import Err, Ok
from wheatslip.distribution.chunks import Chunk, Joiner, split_message
from wheatslip.distribution.feedcache import Cursor, FeedCache, Update
from wheatslip.quarantine import EndReport
from wheatslip.store.instances import Instance

from wheatslipd.feed.codec import StructCodec
from wheatslipd.telemetry import logs
from wheatslipd.tls import PeerTls

METHOD = "/wheatslip.Relay/FollowInPieces"
REPORT_METHOD = "/wheatslip.Relay/ReportEnds"
HEARTBEAT_SECONDS = 0.5  # longest time between two updates of a stream
# Heartbeats without a chunk after which a parent is taken for dead, frozen or out of reach:
# two, and half of one for a delay.
SILENT_HEARTBEATS = 2.5
SILENCE_TIMEOUT = SILENT_HEARTBEATS * HEARTBEAT_SECONDS
# Of a parent that does not say its own: one of the version before.
UNTOLD_HEARTBEAT_SECONDS = 2.0
# Followers that one daemon serves. The tree gives it about three, and more only while others
# are gone.
MAX_FOLLOWERS = 64
REPORT_TIMEOUT = SILENCE_TIMEOUT  # seconds for a parent to take reports


class EndReports(msgspec.Struct, frozen=True):
    """Reports of ends of servers that the daemon `sender` brings to its parent."""

    sender: str
    reports: tuple[EndReport, ...]


class Taken(msgspec.Struct, frozen=True):
    """The answer to `EndReports`."""


OnReports = Callable[[tuple[EndReport, ...], str], None]


class RelayServer:
    """Serves the followers of one daemon."""

    def __init__(
        self,
        cache: FeedCache,
        tls: PeerTls,
        on_reports: OnReports = lambda reports, sender: None,
    ):
        """`on_reports` takes the reports that a follower brings, and its name."""
        self._cache = cache
        self._tls = tls
        self._on_reports = on_reports
        self._changed = asyncio.Event()
        self._is_leaving = False
        self._codec = StructCodec()
        self._server = Server([self], codec=self._codec)
        self.followers = 0
        self.port = 0

    @property
    def sent_bytes(self) -> int:
        """Bytes of the messages sent to followers, without the transport's own."""
        return self._codec.encoded_bytes

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """The methods by path, as grpclib asks for them."""
        stream = grpclib.const.Cardinality.UNARY_STREAM
        unary = grpclib.const.Cardinality.UNARY_UNARY
        return {
            METHOD: grpclib.const.Handler(self._follow, stream, Cursor, Chunk),
            REPORT_METHOD: grpclib.const.Handler(self._report, unary, EndReports, Taken),
        }

    async def listen(self, host: str, port: int) -> None:
        """Listen; `port` 0 takes a free one. Raises OSError."""
        await self._server.start(host, port, ssl=self._tls.server)
        # grpclib has no public way to learn the port.
        server = cast(asyncio.Server, self._server._server)
        self.port = server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the streams."""
        self._server.close()
        await self._server.wait_closed()

    def announce(self) -> None:
        """Message: the cache has changed. Wakes the streams."""
        self._changed.set()
        self._changed = asyncio.Event()

    def leave(self) -> None:
        """Message: this daemon stops. Ends the streams, so that followers go on to others."""
        self._is_leaving = True
        self.announce()

    async def _follow(self, stream: Stream[Cursor, Chunk]) -> None:
        cursor = await stream.recv_message()
        if cursor is None:
            return
        if self._is_leaving:
            raise GRPCError(grpclib.const.Status.UNAVAILABLE)
        if self.followers >= MAX_FOLLOWERS:
            raise GRPCError(grpclib.const.Status.RESOURCE_EXHAUSTED)
        self.followers += 1
        ends_sent = 0  # position of the last report that was sent on this stream
        head_at_sent = 0  # the last of the store's versions of the head, likewise
        heartbeat = HEARTBEAT_SECONDS  # told with the first update only
        try:
            while not self._is_leaving:
                changed = self._changed
                ends = self._cache.ends.after(ends_sent, exclude_source=cursor.follower)
                ends_sent = self._cache.ends.position
                news = self._cache.since(cursor, head_at_sent)
                update = msgspec.structs.replace(news, ends=ends, heartbeat=heartbeat)
                head_at_sent = max(head_at_sent, news.head_at)
                heartbeat = 0.0
                for chunk in split_message(msgspec.msgpack.encode(update)):
                    await stream.send_message(chunk)
                cursor = _advance(cursor, update)
                with suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_SECONDS):
                        await changed.wait()
        finally:
            self.followers -= 1

    async def _report(self, stream: Stream[EndReports, Taken]) -> None:
        brought = await stream.recv_message()
        if brought is not None:
            self._on_reports(brought.reports, brought.sender)
            await stream.send_message(Taken())


def _advance(cursor: Cursor, update: Update) -> Cursor:
    bundle = update.head.version if update.head else cursor.bundle
    drained = update.drains.version if update.drains else cursor.drained
    return Cursor(cursor.follower, bundle, update.listed, drained)


async def follow_parent(
    parent: Instance, cursor: Cursor, tls: PeerTls
) -> AsyncGenerator[Update, None]:
    """The updates of one parent; ends when it fails, is silent or sends what can't be read."""
    channel = Channel(parent.address, parent.control_port, codec=StructCodec(), ssl=tls.client)
    method: UnaryStreamMethod[Cursor, Chunk] = UnaryStreamMethod(channel, METHOD, Cursor, Chunk)
    joiner = Joiner()
    heartbeat = 0.0  # of the parent; 0: it has sent nothing yet
    silence = SILENCE_TIMEOUT
    try:
        async with method.open() as stream:
            async with asyncio.timeout(SILENCE_TIMEOUT):
                await stream.send_message(cursor, end=True)
            while True:
                async with asyncio.timeout(silence):
                    chunk = await stream.recv_message()
                if chunk is None:
                    return
                match joiner.add(chunk):
                    case Ok(message) if message is not None:
                        update = msgspec.msgpack.decode(message, type=Update)
                        heartbeat = heartbeat or update.heartbeat or UNTOLD_HEARTBEAT_SECONDS
                        silence = SILENT_HEARTBEATS * heartbeat
                        yield update
                    case Err(why):
                        logs.warning("update-refused", parent=parent.name, why=why)
                        return
    except (
        OSError,
        TimeoutError,
        GRPCError,
        StreamTerminatedError,
        msgspec.DecodeError,
    ) as error:
        # A time-out is the only sign of a connection that is open and says nothing.
        logs.info("parent-lost", parent=parent.name, error=repr(error), repeat_key=parent.name)
    finally:
        channel.close()


async def report_ends(parent: Instance, reports: EndReports, tls: PeerTls) -> bool:
    """Bring reports to a parent; False if that should be tried again."""
    channel = Channel(parent.address, parent.control_port, codec=StructCodec(), ssl=tls.client)
    method: UnaryUnaryMethod[EndReports, Taken] = UnaryUnaryMethod(
        channel, REPORT_METHOD, EndReports, Taken
    )
    try:
        await method(reports, timeout=REPORT_TIMEOUT)
    except GRPCError as error:
        # Most likely of the version before, which does not know the method and will not learn
        # it. grpclib has no status of its own for that: the answer lacks its content type.
        _log_not_taken(parent, error)
    except (OSError, TimeoutError, StreamTerminatedError, msgspec.DecodeError) as error:
        _log_not_taken(parent, error)
        return False
    finally:
        channel.close()
    return True


def _log_not_taken(parent: Instance, error: Exception) -> None:
    logs.info("report-not-taken", parent=parent.name, error=repr(error), repeat_key=parent.name)
