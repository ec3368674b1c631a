"""Makes the parts of the feed and runs them; the package describes how they work together.

It owns the platform's client and the cache. Controllers learn of news by events on the bus.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wheatslip.distribution.feedcache import FeedCache
from wheatslip.distribution.headage import AgeChange, HeadAge
from wheatslip.quarantine import EndReport
from wheatslip.store.objects import ObjectStore

from wheatslipd.controllers.bus import Bus
from wheatslipd.feed.access import PlatformAccess
from wheatslipd.feed.endreporter import EndReporter
from wheatslipd.feed.endstore import EndStore
from wheatslipd.feed.feedpace import FeedPace
from wheatslipd.feed.following import ParentFollower
from wheatslipd.feed.hints import Hints
from wheatslipd.feed.intake import Intake
from wheatslipd.feed.place import Place
from wheatslipd.feed.proof import Proof
from wheatslipd.feed.reader import PlatformReader
from wheatslipd.feed.relay import HEARTBEAT_SECONDS, RelayServer
from wheatslipd.feed.tasks import until_first_ends
from wheatslipd.feed.watchcheck import PROOF_SECONDS
from wheatslipd.feed.watching import ListWatch, StateWatch
from wheatslipd.telemetry import logs
from wheatslipd.tls import PeerTls

AGE_LOOK_SECONDS = 1.0  # between looks at the age of the head


@dataclass(frozen=True, slots=True)
class Member:
    """The daemon that a feed belongs to, and how often it calls the platform."""

    name: str
    zone: str
    pace: FeedPace


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What a feed uses of the world: the platform, other daemons, random numbers, the clock."""

    store: ObjectStore
    tls: PeerTls
    rng: Random
    unix: Callable[[], float]  # seconds


class Feed:
    """Keeps one daemon's copy up to date."""

    def __init__(self, member: Member, around: Surroundings, proof: Proof, bus: Bus):
        """`proof` decides what may be put in force; `bus` takes the events."""
        name, tls, rng = member.name, around.tls, around.rng
        self._name = name
        self.client = around.store
        self._pace = member.pace
        self._rng = rng
        self._unix = around.unix
        self.cache = FeedCache()
        self.relay = RelayServer(self.cache, tls, self._take_reports)
        self._place = Place(name, member.zone, member.pace.watchers)
        self.intake = Intake(
            self.cache, self.relay, self._place, proof, bus, around.unix, self.check_head
        )
        access = PlatformAccess(around.store, self.intake, member.pace, rng)
        self._reader = PlatformReader(name, access)
        self._follower = ParentFollower(self._place, access, self._reader, tls)
        self._end_reporter = EndReporter(name, self.cache, lambda: self.parent, tls)
        self._end_store = EndStore(name, access, around.unix)
        self.intake.on_ends = self._end_reporter.wake
        self._follower.on_parent = self._end_reporter.wake
        self.hints = Hints(name, self.relay, self.intake, self._reader, tls, rng)
        self._list_watch = ListWatch(access)
        self._state_watch = StateWatch(
            access,
            self._reader,
            on_back=self._list_watch.platform_is_back,
            has_parent=lambda: bool(self.parent),
        )

    @property
    def watches(self) -> bool:
        """Whether this daemon reads the platform for others."""
        return self._place.watches

    @property
    def parent(self) -> str:
        """The daemon that is followed now; empty: none."""
        return self._follower.parent

    @property
    def head_age(self) -> float | None:
        """Seconds since the platform last confirmed the head to a watcher, by the watcher's
        clock and as far as the news of it came here; None if none came.
        """
        as_of = self.cache.as_of
        return self._unix() - as_of if as_of else None

    def removal_rank(self, zone: str) -> int | None:
        """How many daemons come before this one in removing dead entries of `zone`; None if
        this one does not read the platform.
        """
        return self._place.removal_rank(zone)

    def check_head(self, version: int, address: str = "") -> None:
        """Message: the daemon at `address` has this newer version in force."""
        self.hints.give(version, address)

    def report_end(self, report: EndReport) -> None:
        """Message: this daemon has made a report, which all others should have."""
        self.intake.take_ends((report,), self._name)
        self._end_store.keep(report)

    def _take_reports(self, reports: tuple[EndReport, ...], sender: str) -> None:
        self.intake.take_ends(reports, sender)

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._keep_up())
                group.create_task(self._end_reporter.run())
                group.create_task(self._end_store.run())
                group.create_task(self.hints.run())
                group.create_task(self._watch_age())
        finally:
            await self.client.close()

    async def _watch_age(self) -> None:
        """Log when news of the head stop coming, and when they come again."""
        pace = self._pace
        proof = max(pace.watch_check, PROOF_SECONDS) if pace.watch_check else pace.watch
        lost_after = 2 * proof + 2 * HEARTBEAT_SECONDS
        head_age = HeadAge(lost_after)
        while True:
            await asyncio.sleep(AGE_LOOK_SECONDS)
            age = self.head_age
            if age is None:
                continue
            way = self.parent or "platform"
            match head_age.check_age(age):
                case AgeChange.LOST:
                    logs.warning("head-unconfirmed", age=round(age, 1), way=way)
                case AgeChange.FOUND:
                    logs.info("head-confirmed", version=self.intake.version, way=way)

    async def _keep_up(self) -> None:
        await self._reader.read_first()
        if self._pace.settle and not self._place.is_known:
            # All daemons of the zone may be starting now. Once they are listed, most of them
            # follow others.
            await asyncio.sleep(self._pace.settle * (0.75 + 0.5 * self._rng.random()))
            await self._reader.read_settled_list()
        while True:
            self._place.role_changed.clear()
            if self.watches:
                await self._watch_platform()
            else:
                await self._follower.run()

    async def _watch_platform(self) -> None:
        """Watch the platform and follow the ring until this daemon's role changes."""
        has_list = self._place.watches_list
        logs.info("watching-platform", has_list=has_list)
        jobs = [self._state_watch.run(), self._follower.run()]
        if has_list:
            jobs.append(self._list_watch.run())
        await until_first_ends(*jobs, self._place.role_changed.wait())
