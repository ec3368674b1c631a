"""Creates the parts of the feed and runs them; see the package docstring for an overview.

The feed owns the platform client and the cache. It notifies controllers by events on the bus.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wheatslip.distribution.feedcache import FeedCache
from wheatslip.distribution.headage import AgeChange, HeadAge
from wheatslip.quarantine import EndReport
from wheatslip.store.objects import ObjectStore

from wheatslipd.controllers.bus import Bus
from wheatslipd.feed.access import PlatformAccess
from wheatslipd.feed.cachewriter import CacheWriter
from wheatslipd.feed.endreporter import EndReporter
from wheatslipd.feed.endstore import EndStore
from wheatslipd.feed.feedsettings import FeedSettings
from wheatslipd.feed.hinthandler import HintHandler
from wheatslipd.feed.parentfollower import ParentFollower
from wheatslipd.feed.position import RelayPosition
from wheatslipd.feed.reader import PlatformReader
from wheatslipd.feed.relay import (
    HEARTBEAT_SECONDS,
    NO_LOSSES,
    ControlService,
    LostSource,
    RelayServer,
)
from wheatslipd.feed.tasks import run_until_first_completes
from wheatslipd.feed.verifier import Verifier
from wheatslipd.feed.watchcheck import HEAD_REFRESH_SECONDS
from wheatslipd.feed.watching import ListWatch, StateWatch
from wheatslipd.http.bounds import PortBounds
from wheatslipd.telemetry import logs
from wheatslipd.tls import PeerTls

HEAD_AGE_CHECK_SECONDS = 1.0  # between two checks


@dataclass(frozen=True, slots=True)
class LocalDaemon:
    """The daemon that a feed belongs to, and its feed settings."""

    name: str
    zone: str
    settings: FeedSettings


@dataclass(frozen=True, slots=True)
class FeedDependencies:
    """External dependencies of a feed: the platform, peer TLS, random numbers, clocks, the
    other services on its port, and what its followers are told of lost instances.
    """

    store: ObjectStore
    tls: PeerTls
    rng: Random
    unix: Callable[[], float]  # returns the Unix time in seconds
    monotonic: Callable[[], float] = time.monotonic  # in seconds
    services: tuple[ControlService, ...] = ()  # that the control port offers too
    lost: LostSource = NO_LOSSES
    bounds: PortBounds | None = None  # of the control port; None: the defaults


class Feed:
    """Keeps one daemon's copy of the platform's objects up to date."""

    def __init__(
        self, daemon: LocalDaemon, dependencies: FeedDependencies, verifier: Verifier, bus: Bus
    ):
        """`verifier` decides what may be put in force; events are fired on `bus`."""
        name, tls, rng = daemon.name, dependencies.tls, dependencies.rng
        monotonic = dependencies.monotonic
        self._name = name
        self.client = dependencies.store
        self._settings = daemon.settings
        self._rng = rng
        self._unix = dependencies.unix
        self.cache = FeedCache()
        self.relay = RelayServer(
            self.cache,
            tls,
            self._apply_end_reports,
            monotonic,
            dependencies.services,
            dependencies.lost,
            dependencies.bounds,
        )
        self._position = RelayPosition(name, daemon.zone, daemon.settings.watchers)
        self.cache_writer = CacheWriter(
            self.cache,
            self.relay,
            self._position,
            verifier,
            bus,
            dependencies.unix,
            self.handle_version_hint,
        )
        access = PlatformAccess(
            dependencies.store, self.cache_writer, daemon.settings, rng, monotonic
        )
        self._reader = PlatformReader(name, access)
        self._follower = ParentFollower(self._position, access, self._reader, tls)
        self._end_reporters = (
            EndReporter(name, self.cache, lambda: self.parent, tls),
            EndReporter(name, self.cache, self._unfollowed_ring_parent, tls),
        )
        self._end_store = EndStore(name, access, dependencies.unix)
        self.cache_writer.on_end_reports = self._wake_end_reporters
        self._follower.on_parent_changed = self._wake_end_reporters
        self.hint_handler = HintHandler(
            name, self.relay, self.cache_writer, self._reader, tls, rng, monotonic
        )
        self._list_watch = ListWatch(access)
        self._state_watch = StateWatch(
            access,
            self._reader,
            on_recovery=self._list_watch.restart,
            has_parent=lambda: bool(self.parent),
        )

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon reads the platform for its zone."""
        return self._position.is_watcher

    @property
    def parent(self) -> str:
        """Name of the current parent; empty if there is none."""
        return self._follower.parent

    @property
    def head_age(self) -> float | None:
        """Seconds since the platform last confirmed the head; None before the first time.

        The time of the confirmation is by the clock of the watcher that received it.
        """
        as_of = self.cache.as_of
        return self._unix() - as_of if as_of else None

    @property
    def unreadable_entries(self) -> int:
        """How often an entry at the platform could not be read or used."""
        # An embedder's store need not count.
        return self.cache_writer.unreadable + getattr(self.client, "unreadable", 0)

    def removal_rank(self, zone: str) -> int | None:
        """Return how many daemons precede this one in removing dead entries of `zone`.

        None if this daemon does not read the platform.
        """
        return self._position.removal_rank(zone)

    def handle_version_hint(self, version: int, address: str = "") -> None:
        """Schedule a fetch: the daemon at `address` has this newer version in force."""
        self.hint_handler.add(version, address)

    def report_end(self, report: EndReport) -> None:
        """Distribute an end report made by this daemon to all daemons, and store it."""
        self.cache_writer.apply_end_reports((report,), self._name)
        self._end_store.add(report)

    def _unfollowed_ring_parent(self) -> str:
        """Name of the first parent in the ring; empty if it is followed or there is none."""
        ring_parent = self._position.ring_parent
        return "" if ring_parent == self.parent else ring_parent

    def _wake_end_reporters(self) -> None:
        for end_reporter in self._end_reporters:
            end_reporter.wake()

    def _apply_end_reports(self, reports: tuple[EndReport, ...], sender: str) -> None:
        self.cache_writer.apply_end_reports(reports, sender)

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._synchronize())
                for end_reporter in self._end_reporters:
                    group.create_task(end_reporter.run())
                group.create_task(self._end_store.run())
                group.create_task(self.hint_handler.run())
                group.create_task(self._monitor_head_age())
        finally:
            await self.client.close()

    async def _monitor_head_age(self) -> None:
        """Log when confirmations of the head stop, and when they resume."""
        settings = self._settings
        interval = (
            max(settings.watch_check, HEAD_REFRESH_SECONDS)
            if settings.watch_check
            else settings.watch
        )
        lost_after_seconds = 2 * interval + 2 * HEARTBEAT_SECONDS
        head_age = HeadAge(lost_after_seconds)
        while True:
            await asyncio.sleep(HEAD_AGE_CHECK_SECONDS)
            age = self.head_age
            if age is None:
                continue
            source = self.parent or "platform"
            match head_age.check_age(age):
                case AgeChange.LOST:
                    logs.warning("head-unconfirmed", age=round(age, 1), way=source)
                case AgeChange.FOUND:
                    logs.info("head-confirmed", version=self.cache_writer.version, way=source)

    async def _synchronize(self) -> None:
        await self._reader.read_initial_state()
        if self._settings.settle and not self._position.has_zone_members:
            # All daemons of the zone may be starting at once. When they are listed, most of
            # them become followers and need not read the platform.
            await asyncio.sleep(self._settings.settle * (0.75 + 0.5 * self._rng.random()))
            await self._reader.read_list_until_listed()
        while True:
            self._position.role_changed.clear()
            if self.is_watcher:
                await self._watch_platform()
            else:
                await self._follower.run()

    async def _watch_platform(self) -> None:
        """Watch the platform and follow the ring until this daemon's role changes."""
        watches_list = self._position.watches_list
        logs.info("watching-platform", has_list=watches_list)
        jobs = [self._state_watch.run(), self._follower.run()]
        if watches_list:
            jobs.append(self._list_watch.run())
        await run_until_first_completes(*jobs, self._position.role_changed.wait())
