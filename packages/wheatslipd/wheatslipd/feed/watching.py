"""The watches of the platform, of a daemon that reads it for others."""

import asyncio
from random import Random

from wheatslip.config.head import HEAD_KIND
from wheatslip.config.zonedrains import ZONE_DRAIN_KIND
from wheatslip.store.instances import INSTANCE_KIND
from wheatslip.store.objects import ObjectStore, Unavailable, follow

from wheatslipd.feed.feedpace import FeedPace
from wheatslipd.feed.intake import Intake
from wheatslipd.feed.reader import PlatformReader
from wheatslipd.feed.trouble import log_trouble

# Share of the time that the check of a watch may spend on reading the head. On a link of
# 650 kB/s a head of 700 kB, read on each check, took half of the link for good.
HEAD_READ_SHARE = 0.05
# Longest wait, as a multiple of that of the other calls, before a watch of the emptied zones
# that failed is made again, if the watch of the head has not come back sooner: one watch that
# tries is enough to find that the platform is back. On a day on which a third of 24 daemons was
# turned away for 9 s, 66 of 400 priced calls were tries of the second watch.
DRAINS_PATIENCE = 5.0


class ListWatch:
    """Watches the list."""

    def __init__(self, store: ObjectStore, intake: Intake, pace: FeedPace, rng: Random):
        self._store = store
        self._intake = intake
        self._pace = pace
        self._rng = rng

    async def run(self) -> None:
        """Run until cancelled."""
        # What was read or followed so far is complete up to its version.
        since = self._intake.cache.listed or None
        async for listing in follow(
            self._store,
            INSTANCE_KIND,
            self._rng,
            self._on_trouble,
            self._pace.list_watch,
            self._pace.list_pause,
            self._pace.retry_last,
            since,
        ):
            self._intake.confirm()
            if listing.whole or listing.items:
                self._intake.take_listing(listing)

    def _on_trouble(self, trouble: Unavailable) -> None:
        log_trouble(trouble)
        self._intake.confirm()


class StateWatch:
    """Watches what operators want, the head and the emptied zones, and begins anew where the
    platform was silent for a while: a watch that was made before the silence hears nothing
    after it.
    """

    def __init__(
        self,
        store: ObjectStore,
        reader: PlatformReader,
        intake: Intake,
        pace: FeedPace,
        rng: Random,
    ):
        self._store = store
        self._reader = reader
        self._intake = intake
        self._pace = pace
        self._rng = rng
        self._was_in_trouble = False  # whether a call of it failed since the last answer
        self._is_in_place = False  # whether the last call of the watch was answered
        self._is_back = asyncio.Event()  # set when the watch of the head is answered again
        self._read_at = 0.0  # the loop's time at which the check reads the head again

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            tasks = [
                asyncio.ensure_future(self._follow_head()),
                asyncio.ensure_future(self._keep_drains()),
            ]
            if self._pace.watch_check:
                tasks.append(asyncio.ensure_future(self._check()))
            try:
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            for task in done:
                task.result()

    async def _check(self) -> None:
        """Read the head now and then, until the platform is back from not answering."""
        was_silent = False
        while True:
            await asyncio.sleep(self._pace.watch_check)
            if not await self._is_answered():
                was_silent = True
                continue
            if self._is_in_place:
                self._intake.confirm_head()
            if was_silent:
                return

    async def _is_answered(self) -> bool:
        """Whether the platform answers this daemon: by reading the head, unless that took long
        a short while ago, and the own entry in the list otherwise.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        if began < self._read_at:
            return await self._reader.read_own_entry()
        answered = await self._reader.read_head(stale_ok=True)
        ended = loop.time()
        self._read_at = ended + (ended - began) / HEAD_READ_SHARE
        return answered

    async def _keep_drains(self) -> None:
        """Follow the emptied zones, anew whenever the platform is back."""
        while True:
            self._is_back.clear()
            tasks = [
                asyncio.ensure_future(self._follow_drains()),
                asyncio.ensure_future(self._is_back.wait()),
            ]
            try:
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            for task in done:
                task.result()

    async def _follow_drains(self) -> None:
        known = self._intake.cache.drains
        async for listing in follow(
            self._store,
            ZONE_DRAIN_KIND,
            self._rng,
            log_trouble,
            self._pace.watch,
            backoff_last=DRAINS_PATIENCE * self._pace.retry_last,
            since=known.version if known is not None else None,
        ):
            if listing.whole or listing.items:
                self._intake.take_drain_listing(listing)

    async def _follow_head(self) -> None:
        async for listing in follow(
            self._store,
            HEAD_KIND,
            self._rng,
            self._on_head_trouble,
            self._pace.watch,
            backoff_last=self._pace.retry_last,
            since=self._reader.head_known or None,
        ):
            for item in listing.items:
                await self._reader.fetch_newer(item)
            if self._was_in_trouble:
                self._was_in_trouble = False
                self._is_back.set()
            self._is_in_place = True
            self._intake.confirm_head()
            # Not before they are in force: a watch that begins anew would pass them over.
            self._reader.know_head(listing.version)

    def _on_head_trouble(self, trouble: Unavailable) -> None:
        log_trouble(trouble)
        self._is_in_place = False
        self._was_in_trouble = True
