"""A watcher's watches of the platform, which it reads for the other daemons of its zone."""

import asyncio
from collections.abc import Callable

from wheatslip.config.head import HEAD_KIND
from wheatslip.config.zonedrains import ZONE_DRAIN_KIND
from wheatslip.store.instances import INSTANCE_KIND
from wheatslip.store.objects import Unavailable

from wheatslipd.feed.access import PlatformAccess, log_trouble
from wheatslipd.feed.reader import PlatformReader
from wheatslipd.feed.tasks import until_first_ends
from wheatslipd.feed.watchcheck import WatchCheck
from wheatslipd.telemetry import logs

# Factor on the longest wait before a failed watch of the zone drains is made again, if the
# watch of the head is not answered sooner: the tries of one watch are enough to find that the
# platform is back, and each try has its price.
DRAINS_BACKOFF_FACTOR = 5.0


class ListWatch:
    """Watches the list."""

    def __init__(self, access: PlatformAccess):
        self._access = access
        self._intake = access.intake
        self._is_back = asyncio.Event()  # set when the platform answers after it did not

    def platform_is_back(self) -> None:
        """Message: the watch may hear nothing any more."""
        self._is_back.set()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            self._is_back.clear()
            await until_first_ends(self._follow(), self._is_back.wait())

    async def _follow(self) -> None:
        pace = self._access.pace
        async for listing in self._access.changes(
            INSTANCE_KIND,
            self._on_trouble,
            wait=pace.list_watch,
            pause=pace.list_pause,
            # What was read or followed so far is complete up to its version.
            since=self._intake.cache.listed or None,
        ):
            self._intake.confirm()
            if listing.whole or listing.items:
                self._intake.take_listing(listing)

    def _on_trouble(self, trouble: Unavailable) -> None:
        log_trouble(trouble)
        self._intake.confirm()


class StateWatch:
    """Watches the head and the zone drains.

    It makes its watches anew after the platform has not answered for a while, because a watch
    that was made before such a silence reports nothing after it.
    """

    def __init__(
        self,
        access: PlatformAccess,
        reader: PlatformReader,
        on_back: Callable[[], None] = lambda: None,
        has_parent: Callable[[], bool] = lambda: False,
    ):
        """`on_back` is called when the platform answers after it did not; `has_parent` returns
        whether another daemon is followed.
        """
        self._access = access
        self._reader = reader
        self._intake = access.intake
        self._on_back = on_back
        self._check = WatchCheck(access, reader, has_parent)
        self._was_in_trouble = False  # the watch of the head failed since its last answer
        self._is_back = asyncio.Event()  # set when the watch of the head is answered again

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            jobs = [self._follow_head(), self._keep_drains()]
            if self._access.pace.watch_check:
                jobs.append(self._check.run())
            await until_first_ends(*jobs)
            logs.info("watches-made-anew")
            self._on_back()

    async def _keep_drains(self) -> None:
        """Watch the zone drains, anew whenever the platform is back."""
        while True:
            self._is_back.clear()
            await until_first_ends(self._follow_drains(), self._is_back.wait())

    async def _follow_drains(self) -> None:
        known = self._intake.cache.drains
        async for listing in self._access.changes(
            ZONE_DRAIN_KIND,
            log_trouble,
            wait=self._access.pace.watch,
            since=known.version if known is not None else None,
            slower=DRAINS_BACKOFF_FACTOR,
        ):
            if listing.whole or listing.items:
                self._intake.take_drain_listing(listing)

    async def _follow_head(self) -> None:
        logs.info(
            "watching-head", since=self._intake.cache.head_at, version=self._intake.version
        )
        async for listing in self._access.changes(
            HEAD_KIND,
            self._on_head_trouble,
            wait=self._access.pace.watch,
            since=self._intake.cache.head_at or None,
        ):
            for item in listing.items:
                await self._reader.fetch_newer(item)
            if self._was_in_trouble:
                self._was_in_trouble = False
                self._is_back.set()
            self._intake.confirm_head()
            # Only now that its bundles are in force: a watch that is made anew starts behind
            # this version.
            self._intake.know_head(listing.version)

    def _on_head_trouble(self, trouble: Unavailable) -> None:
        log_trouble(trouble)
        self._was_in_trouble = True
