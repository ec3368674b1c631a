"""Receives updates from other daemons: follows one parent at a time."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing, suppress
from math import inf

from wheatslip.store.instances import Instance

from wheatslipd.feed.access import PlatformAccess
from wheatslipd.feed.position import RelayPosition
from wheatslipd.feed.reader import PlatformReader
from wheatslipd.feed.relay import follow_parent
from wheatslipd.feed.tasks import run_until_first_completes
from wheatslipd.telemetry import logs
from wheatslipd.tls import PeerTls

STALE_TIMEOUT_SECONDS = 15.0  # without a newer `as_of`; several heartbeats per tree level
NEXT_PARENT_PAUSE_SECONDS = 0.2  # before the next parent is tried
ALL_PARENTS_FAILED_PAUSE_SECONDS = 1.0  # limits the reads of the platform, one per pause


def list_stale_timeout(list_watch: float) -> float:
    """Return for how many seconds a parent may send the same `checked`.

    A watch of the list confirms the list when it ends: allow two watches of `list_watch`
    seconds, and the delay through the tree.
    """
    return STALE_TIMEOUT_SECONDS + 2 * list_watch


class StalenessTracker:
    """Tracks whether a timestamp sent by a parent still increases."""

    def __init__(self, timeout: float, now: float):
        """`timeout`: seconds without an increase after which the timestamp is stale."""
        self._timeout = timeout
        self._latest_value = 0.0
        self._increased_at = now

    def observe(self, value: float, now: float) -> None:
        """Record the timestamp of an update received at `now`."""
        if value > self._latest_value:
            self._latest_value = value
            self._increased_at = now

    def seconds_since_increase(self, now: float) -> float:
        """Return the seconds since the last increase, rounded to 0.1 s."""
        return round(now - self._increased_at, 1)

    def is_stale(self, now: float) -> bool:
        return now - self._increased_at > self._timeout


class ParentFollower:
    """Follows the parents of one daemon, one at a time."""

    def __init__(
        self,
        position: RelayPosition,
        access: PlatformAccess,
        reader: PlatformReader,
        tls: PeerTls,
    ):
        self._position = position
        self._cache_writer = access.cache_writer
        self._list_watch = access.settings.list_watch
        self._confirm_interval = access.settings.confirm_interval
        self._confirmed_at = -inf  # last own confirmation, on the loop's clock
        self._rng = access.rng
        self._monotonic = access.monotonic
        self._reader = reader
        self._tls = tls
        self.parent = ""  # name of the current parent; empty if there is none
        # Called when another parent is followed.
        self.on_parent_changed: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Follow one parent after another until this daemon's role changes.

        If no parent sends anything new, the list that names them may be outdated, so the daemon
        reads the platform.
        """
        failed_parents = 0  # parents tried since the last one that sent something new
        attempts = 0
        while not self._position.role_changed.is_set():
            if self._position.parents_changed.is_set():
                self._position.parents_changed.clear()
                failed_parents = 0
                attempts = 0
            parents = self._position.parents()
            if failed_parents >= len(parents):
                await self._read_platform(len(parents))
                await self._sleep_with_jitter(ALL_PARENTS_FAILED_PAUSE_SECONDS)
                failed_parents = 0
                continue
            had_new_data = await self._follow_parent(parents[attempts % len(parents)])
            failed_parents = 0 if had_new_data else failed_parents + 1
            attempts += 1
            await self._sleep_with_jitter(NEXT_PARENT_PAUSE_SECONDS)

    async def _read_platform(self, parent_count: int) -> None:
        """Read from the platform what the parents should have sent.

        A watcher watches the configuration itself, and one watcher of each zone the list. Other
        daemons get the list only from parents, whose addresses in their list may be outdated.
        """
        if self._position.watches_list:
            return
        logs.warning(
            "parents-without-news",
            tried=parent_count,
            listed=self._cache_writer.cache.listed,
            repeat_key="parents-without-news",
        )
        if self._position.is_watcher:
            await self._reader.read_list(stale_ok=True)
        else:
            await self._reader.read_all()

    async def _sleep_with_jitter(self, seconds: float) -> None:
        """Sleep for half to one and a half times `seconds`, or until the parents change."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds * (0.5 + self._rng.random())):
                await self._position.parents_changed.wait()

    async def _follow_parent(self, parent: str) -> bool:
        """Follow one parent until it fails or the parents change.

        Returns whether it sent something new.
        """
        instance = self._cache_writer.cache.instances.get(parent)
        if instance is None or not instance.control_port:
            return False
        logs.info("following", parent=parent)
        self.parent = parent
        self.on_parent_changed()
        try:
            had_new_data, _ = await run_until_first_completes(
                self._apply_updates(instance), self._position.parents_changed.wait()
            )
        finally:
            self.parent = ""
        return bool(had_new_data)

    async def _apply_updates(self, parent: Instance) -> bool:
        """Apply a parent's updates until it fails or becomes stale.

        Returns whether it sent something new.

        The parent is stale if `as_of`, the time at which the head was confirmed, no longer
        increases: the platform is not reachable, or daemons follow each other in a cycle. A
        watcher that does not watch the list follows a parent only for the list, so for it
        `checked`, the time at which the list was confirmed, must increase too.
        """
        loop = asyncio.get_running_loop()
        needs_list = self._position.is_watcher and not self._position.watches_list
        head_tracker = StalenessTracker(STALE_TIMEOUT_SECONDS, loop.time())
        list_tracker = StalenessTracker(list_stale_timeout(self._list_watch), loop.time())
        had_new_data = False
        cache = self._cache_writer.cache
        last_confirmed = cache.checked if needs_list else cache.as_of
        cursor = cache.cursor(self._position.name)
        stream = follow_parent(parent, cursor, self._tls, self._monotonic)
        async with aclosing(stream) as updates:
            async for update in updates:
                confirmed = update.checked if needs_list else update.as_of
                had_new_data |= confirmed > last_confirmed or update.listed > cursor.listed
                head_tracker.observe(update.as_of, loop.time())
                list_tracker.observe(update.checked, loop.time())
                self._cache_writer.apply_update(update, parent.name)
                now = loop.time()
                if update.confirmed is None and not head_tracker.is_stale(now):
                    await self._confirm_head(now)
                if head_tracker.is_stale(now) or (needs_list and list_tracker.is_stale(now)):
                    logs.info(
                        "parent-stale",
                        parent=parent.name,
                        head_age=head_tracker.seconds_since_increase(now),
                    )
                    break
        return had_new_data

    async def _confirm_head(self, now: float) -> None:
        """Ask the platform itself, because the parent sends no confirmations, as those of the
        previous version do. Does nothing if no limit needs them.
        """
        if self._confirm_interval and now >= self._confirmed_at + self._confirm_interval:
            self._confirmed_at = now
            with suppress(TimeoutError):
                # Updates of the parent must not wait until the platform answers.
                async with asyncio.timeout(self._confirm_interval):
                    await self._reader.refresh_head()
