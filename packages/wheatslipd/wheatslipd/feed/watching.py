"""Watches of the platform, run by a watcher on behalf of the other daemons of its zone."""

import asyncio
from collections.abc import Callable

from wheatslip.config.head import HEAD_KIND
from wheatslip.config.zonedrains import ZONE_DRAIN_KIND
from wheatslip.store.instances import INSTANCE_KIND
from wheatslip.store.objects import Unavailable

from wheatslipd.feed.access import PlatformAccess, log_unavailable
from wheatslipd.feed.reader import PlatformReader
from wheatslipd.feed.tasks import run_until_first_completes
from wheatslipd.feed.watchcheck import WatchCheck
from wheatslipd.telemetry import logs

# Longer backoff of the drains watch, which the watch of the head restarts on recovery anyway.
# Each attempt costs a call.
DRAINS_BACKOFF_FACTOR = 5.0


class ListWatch:
    """Watches the instance list."""

    def __init__(self, access: PlatformAccess):
        self._access = access
        self._cache_writer = access.cache_writer
        self._restart_requested = asyncio.Event()

    def restart(self) -> None:
        """Start the watch again, because it may no longer receive changes."""
        self._restart_requested.set()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            self._restart_requested.clear()
            await run_until_first_completes(self._follow(), self._restart_requested.wait())

    async def _follow(self) -> None:
        settings = self._access.settings
        async for listing in self._access.changes(
            INSTANCE_KIND,
            self._on_unavailable,
            wait=settings.list_watch,
            pause=settings.list_pause,
            # The cached list is complete up to its version.
            since=self._cache_writer.cache.listed or None,
        ):
            self._cache_writer.confirm_list()
            if listing.whole or listing.items:
                self._cache_writer.apply_listing(listing)

    def _on_unavailable(self, unavailable: Unavailable) -> None:
        log_unavailable(unavailable)
        self._cache_writer.confirm_list()


class StateWatch:
    """Watches the head and the zone drains.

    It restarts both watches when the platform answers again after an outage, because a watch
    that was opened before an outage may report nothing after it.
    """

    def __init__(
        self,
        access: PlatformAccess,
        reader: PlatformReader,
        on_recovery: Callable[[], None] = lambda: None,
        has_parent: Callable[[], bool] = lambda: False,
    ):
        """`on_recovery` is called when the platform answers again after an outage; `has_parent`
        returns whether this daemon follows a parent.
        """
        self._access = access
        self._reader = reader
        self._cache_writer = access.cache_writer
        self._on_recovery = on_recovery
        self._check = WatchCheck(access, reader, has_parent)
        self._has_head_watch_failed = False  # since its last response
        self._head_watch_recovered = asyncio.Event()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            jobs = [self._follow_head(), self._watch_drains()]
            if self._access.settings.check_interval:
                jobs.append(self._check.run())
            await run_until_first_completes(*jobs)
            logs.info("watches-made-anew")
            self._on_recovery()

    async def _watch_drains(self) -> None:
        """Watch the zone drains; restart whenever the watch of the head recovers."""
        while True:
            self._head_watch_recovered.clear()
            await run_until_first_completes(
                self._follow_drains(), self._head_watch_recovered.wait()
            )

    async def _follow_drains(self) -> None:
        cached = self._cache_writer.cache.drains
        async for listing in self._access.changes(
            ZONE_DRAIN_KIND,
            log_unavailable,
            wait=self._access.settings.watch,
            since=cached.version if cached is not None else None,
            backoff_factor=DRAINS_BACKOFF_FACTOR,
        ):
            if listing.whole or listing.items:
                self._cache_writer.apply_drain_listing(listing)

    async def _follow_head(self) -> None:
        logs.info(
            "watching-head",
            since=self._cache_writer.cache.head_at,
            version=self._cache_writer.version,
        )
        async for listing in self._access.changes(
            HEAD_KIND,
            self._on_head_unavailable,
            wait=self._access.settings.watch,
            since=self._cache_writer.cache.head_at or None,
        ):
            await self._reader.apply_heads(listing)
            if self._has_head_watch_failed:
                self._has_head_watch_failed = False
                self._head_watch_recovered.set()
            self._cache_writer.confirm_head()
            # Must come after the bundles are in force: a restarted watch skips everything up to
            # this version.
            self._cache_writer.advance_head_position(listing.version)

    def _on_head_unavailable(self, unavailable: Unavailable) -> None:
        log_unavailable(unavailable)
        self._has_head_watch_failed = True
