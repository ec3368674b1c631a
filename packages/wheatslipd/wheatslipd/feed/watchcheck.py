"""Detects watches of the platform that no longer receive changes but report no error."""

import asyncio
from collections.abc import Callable

from wheatslipd.feed.access import PlatformAccess
from wheatslipd.feed.reader import PlatformReader

# Interval; a refresh costs more than a stale read of the head. In between, a parent or stale
# reads bring what a silent watch misses.
HEAD_REFRESH_SECONDS = 4.0
# Interval without a parent or stale reads; below 1 s, so that a check every 1 s can refresh.
HEAD_REFRESH_WITHOUT_PARENT_SECONDS = 0.75
REFRESH_PART_OF_INTERVAL = 0.9  # of the interval in which the head must be confirmed
# Above it, no stale reads of the head: some platforms respond with the whole configuration, and
# one of 700 kB takes about a second on a slow link.
SMALL_BUNDLE_BYTES = 20_000


class WatchCheck:
    """Calls the platform concurrently with the watches of one daemon, on other connections.

    Only a response that contains the state of the head confirms the head. Any other response
    shows only that the platform is reachable.
    """

    def __init__(
        self, access: PlatformAccess, reader: PlatformReader, has_parent: Callable[[], bool]
    ):
        """`has_parent` returns whether a parent also delivers changes."""
        self._access = access
        self._has_parent = has_parent
        self._reader = reader
        self._cache = access.cache_writer.cache
        self._refreshed_at = -HEAD_REFRESH_SECONDS  # by the loop's clock

    async def run(self) -> None:
        """Return when the platform answers again after a failed call.

        The watches may receive nothing from then on.
        """
        if self._access.settings.confirm_interval:
            await self._call_platform()
        await self._call_until(answered=False)
        await self._call_until(answered=True)

    async def _call_until(self, *, answered: bool) -> None:
        """Call the platform until a call succeeds (`answered`) or fails."""
        backoff = self._access.backoff()
        period = self._access.settings.check_interval
        while True:
            await asyncio.sleep(backoff.next() if answered else period)
            if await self._call_platform() == answered:
                return

    async def _call_platform(self) -> bool:
        now = asyncio.get_running_loop().time()
        is_small = self._cache.bundle_bytes <= SMALL_BUNDLE_BYTES
        needs_frequent_refresh = not is_small and not self._has_parent()
        refresh_seconds = (
            HEAD_REFRESH_WITHOUT_PARENT_SECONDS
            if needs_frequent_refresh
            else HEAD_REFRESH_SECONDS
        )
        if self._access.settings.confirm_interval:
            # Below the interval of the checks, so that a check in each of them can refresh.
            confirm_seconds = REFRESH_PART_OF_INTERVAL * self._access.settings.confirm_interval
            refresh_seconds = min(refresh_seconds, confirm_seconds)
        if now >= self._refreshed_at + refresh_seconds:
            self._refreshed_at = now
            return await self._reader.refresh_head()
        if is_small:
            return await self._reader.read_head(stale_ok=True)
        return await self._reader.read_own_entry()
