"""Streams of updates between daemons: the server for followers and the client for a parent.

The server sends an update when the cache changes, and as a heartbeat when it does not. It
splits updates into chunks, so that the client does not time out while it receives a large
update over a slow link.
"""

import asyncio
import time
from collections.abc import AsyncGenerator, Callable, Sequence
from contextlib import suppress
from typing import Protocol, cast

import grpclib.const
import msgspec
from grpclib.client import Channel, UnaryStreamMethod, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream
from result import Err, Ok, Result
from wheatslip.decoding import decode_msgpack
from wheatslip.distribution.chunks import Chunk, Joiner, split_message
from wheatslip.distribution.feedcache import (
    Confirmation,
    Cursor,
    FeedCache,
    LostInstance,
    Update,
)
from wheatslip.quarantine import EndReport
from wheatslip.store.instances import Instance

from wheatslipd.feed.codec import StructCodec
from wheatslipd.http.bounds import OWN_LIMITS, PortBounds
from wheatslipd.http.grpcserver import BoundedServer
from wheatslipd.telemetry import logs
from wheatslipd.timeouts import reply_timeout
from wheatslipd.tls import PeerTls

FOLLOW_METHOD = "/wheatslip.Relay/FollowInPieces"
REPORT_METHOD = "/wheatslip.Relay/ReportEnds"
HEARTBEAT_SECONDS = 0.5  # longest time between two updates of a stream
# Heartbeat intervals without a chunk after which a parent has failed: two, and half of one for
# delays.
MISSED_HEARTBEATS = 2.5
SILENCE_TIMEOUT_SECONDS = MISSED_HEARTBEATS * HEARTBEAT_SECONDS
# Heartbeat interval of a parent of the previous version, which does not send its own.
DEFAULT_HEARTBEAT_SECONDS = 2.0
# The tree assigns about three followers to a daemon, and more only while others are down.
MAX_FOLLOWERS = 64
REPORT_TIMEOUT_SECONDS = SILENCE_TIMEOUT_SECONDS


class EndReports(msgspec.Struct, frozen=True):
    """End reports that the daemon `sender` sends to its parent."""

    sender: str
    reports: tuple[EndReport, ...]


class EndReportsResponse(msgspec.Struct, frozen=True):
    """Response to `EndReports`."""


ReportsCallback = Callable[[tuple[EndReport, ...], str], None]


class ControlService(Protocol):
    """Methods that the control port serves beside those of the relay."""

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the handlers by method path; grpclib calls this."""
        ...


class LostSource(Protocol):
    """Knows the instances that left the list without having been listed as leaving."""

    @property
    def version(self) -> int:
        """Rises when others have told of more."""
        ...

    def current(self) -> tuple[LostInstance, ...]:
        """Return all of them."""
        ...


class NoLosses:
    """For feeds of daemons that need to know of none."""

    version = 0

    def current(self) -> tuple[LostInstance, ...]:
        """Return none."""
        return ()


NO_LOSSES = NoLosses()


class RelayServer:
    """Serves updates to the followers of one daemon, and receives their end reports."""

    def __init__(
        self,
        cache: FeedCache,
        tls: PeerTls,
        on_reports: ReportsCallback = lambda reports, sender: None,
        monotonic: Callable[[], float] = time.monotonic,
        services: Sequence[ControlService] = (),
        lost: LostSource = NO_LOSSES,
        bounds: PortBounds | None = None,
    ):
        """`on_reports` is called with the end reports that a follower sends, and its name. The
        server offers `services` too, and tells followers of `lost`.
        """
        bounds = bounds or PortBounds(lambda: OWN_LIMITS)
        self._lost = lost
        self._monotonic = monotonic
        self._cache = cache
        self._tls = tls
        self._on_reports = on_reports
        self._changed = asyncio.Event()
        self._is_leaving = False
        self._codec = StructCodec()
        self._server = BoundedServer([self, *services], self._codec, bounds)
        self.followers = 0
        self.port = 0

    @property
    def sent_bytes(self) -> int:
        """Total bytes of the messages sent on the control port, without transport overhead.

        Almost all of them are updates to followers; the answers of `services` are some bytes.
        """
        return self._codec.encoded_bytes

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the handlers by method path; grpclib calls this."""
        stream = grpclib.const.Cardinality.UNARY_STREAM
        unary = grpclib.const.Cardinality.UNARY_UNARY
        return {
            FOLLOW_METHOD: grpclib.const.Handler(self._follow, stream, Cursor, Chunk),
            REPORT_METHOD: grpclib.const.Handler(
                self._receive_reports, unary, EndReports, EndReportsResponse
            ),
        }

    async def listen(self, host: str, port: int) -> None:
        """Listen on `port`, or on a free port if it is 0. Raises OSError."""
        await self._server.start(host, port, ssl=self._tls.server)
        # grpclib has no public API for the port.
        server = cast(asyncio.Server, self._server._server)
        self.port = server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the server and its streams."""
        self._server.close()
        await self._server.wait_closed()

    def notify_followers(self) -> None:
        """Wake all streams after a change of the cache."""
        self._changed.set()
        self._changed = asyncio.Event()

    def leave(self) -> None:
        """End all streams because this daemon stops, so that followers choose other parents."""
        self._is_leaving = True
        self.notify_followers()

    async def _follow(self, stream: Stream[Cursor, Chunk]) -> None:
        cursor = await stream.recv_message()
        if cursor is None:
            return
        if self._is_leaving:
            raise GRPCError(grpclib.const.Status.UNAVAILABLE)
        if self.followers >= MAX_FOLLOWERS:
            raise GRPCError(grpclib.const.Status.RESOURCE_EXHAUSTED)
        self.followers += 1
        sent_reports_position = 0  # position of the last report sent on this stream
        sent_head_position = 0  # the last `head_at` sent on this stream
        sent_lost_version = -1  # of the lost instances sent on this stream; -1: none
        heartbeat = HEARTBEAT_SECONDS  # sent with the first update only
        clock: float | None = self._monotonic()  # sent with the first confirmation only
        try:
            while not self._is_leaving:
                changed = self._changed
                ends = self._cache.ends.after(
                    sent_reports_position, exclude_source=cursor.follower
                )
                sent_reports_position = self._cache.ends.position
                changes = self._cache.since(cursor, sent_head_position)
                update = msgspec.structs.replace(changes, ends=ends, heartbeat=heartbeat)
                if changes.confirmed is not None:
                    update = msgspec.structs.replace(update, clock=clock)
                    clock = None
                if self._lost.version > sent_lost_version:
                    update = msgspec.structs.replace(update, lost=self._lost.current())
                    sent_lost_version = self._lost.version
                sent_head_position = max(sent_head_position, changes.head_at)
                heartbeat = 0.0
                for chunk in split_message(msgspec.msgpack.encode(update)):
                    await stream.send_message(chunk)
                cursor = _advance_cursor(cursor, update)
                with suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_SECONDS):
                        await changed.wait()
        finally:
            self.followers -= 1

    async def _receive_reports(self, stream: Stream[EndReports, EndReportsResponse]) -> None:
        message = await stream.recv_message()
        if message is not None:
            self._on_reports(message.reports, message.sender)
            await stream.send_message(EndReportsResponse())


def _advance_cursor(cursor: Cursor, update: Update) -> Cursor:
    bundle = update.head.version if update.head else cursor.bundle
    drained = update.drains.version if update.drains else cursor.drained
    return Cursor(cursor.follower, bundle, update.listed, drained)


async def follow_parent(
    parent: Instance,
    cursor: Cursor,
    tls: PeerTls,
    monotonic: Callable[[], float] = time.monotonic,
) -> AsyncGenerator[Update, None]:
    """Yield the updates of one parent until it fails, times out or sends an invalid message.

    The times of their confirmations are converted to the clock `monotonic` of this daemon.
    """
    channel = Channel(parent.address, parent.control_port, codec=StructCodec(), ssl=tls.client)
    method: UnaryStreamMethod[Cursor, Chunk] = UnaryStreamMethod(
        channel, FOLLOW_METHOD, Cursor, Chunk
    )
    joiner = Joiner()
    heartbeat = 0.0  # the parent's interval in seconds; 0 before the first update
    silence_timeout = SILENCE_TIMEOUT_SECONDS
    parent_clock: float | None = None  # the parent's time, read after `asked_at`
    try:
        async with method.open() as stream:
            async with reply_timeout(SILENCE_TIMEOUT_SECONDS, "parent"):
                await stream.send_request()  # connects, so that `asked_at` does not include it
                asked_at = monotonic()
                await stream.send_message(cursor, end=True)
            while True:
                async with reply_timeout(silence_timeout, "parent"):
                    chunk = await stream.recv_message()
                if chunk is None:
                    return
                match _decode_update(joiner.add(chunk)):
                    case Ok(Update() as update):
                        heartbeat = heartbeat or update.heartbeat or DEFAULT_HEARTBEAT_SECONDS
                        silence_timeout = MISSED_HEARTBEATS * heartbeat
                        if update.clock is not None:
                            parent_clock = update.clock
                        yield _convert_confirmation(update, asked_at, parent_clock)
                    case Err(reason):
                        logs.warning("update-refused", parent=parent.name, why=reason)
                        return
    except (
        OSError,
        TimeoutError,
        GRPCError,
        StreamTerminatedError,
        msgspec.DecodeError,
    ) as error:
        # A timeout is the only sign of an open connection that delivers nothing.
        logs.info("parent-lost", parent=parent.name, error=repr(error), repeat_key=parent.name)
    finally:
        channel.close()


def _decode_update(joined: Result[bytes | None, str]) -> Result[Update | None, str]:
    """Decode a message; None while it is not complete."""
    if isinstance(joined, Err) or joined.ok_value is None:
        return joined.map(lambda _: None)
    return decode_msgpack(joined.ok_value, Update)


def _convert_confirmation(
    update: Update, asked_at: float, parent_clock: float | None
) -> Update:
    """Convert the time of the confirmation from the parent's clock to the own one.

    The parent read `parent_clock` after `asked_at`, so the result may be too early by the time
    that opening the stream took. It is never too late, even if an update was under way or in a
    buffer for long, as while one of the daemons was frozen.
    """
    confirmed = update.confirmed
    if confirmed is not None:
        confirmed = (
            None
            if parent_clock is None
            else Confirmation(confirmed.version, confirmed.at - parent_clock + asked_at)
        )
    return msgspec.structs.replace(update, confirmed=confirmed, clock=None)


async def send_end_reports(parent: Instance, reports: EndReports, tls: PeerTls) -> bool:
    """Send end reports to a parent; return False if a retry is needed."""
    channel = Channel(parent.address, parent.control_port, codec=StructCodec(), ssl=tls.client)
    method: UnaryUnaryMethod[EndReports, EndReportsResponse] = UnaryUnaryMethod(
        channel, REPORT_METHOD, EndReports, EndReportsResponse
    )
    try:
        async with reply_timeout(REPORT_TIMEOUT_SECONDS, "report-receiver"):
            await method(reports)
    except GRPCError as error:
        # The parent probably runs the previous version, which lacks the method, so a retry
        # would fail too. grpclib reports no specific status for that.
        _log_undelivered(parent, error)
    except (OSError, TimeoutError, StreamTerminatedError, msgspec.DecodeError) as error:
        _log_undelivered(parent, error)
        return False
    finally:
        channel.close()
    return True


def _log_undelivered(parent: Instance, error: Exception) -> None:
    logs.info("report-not-taken", parent=parent.name, error=repr(error), repeat_key=parent.name)
