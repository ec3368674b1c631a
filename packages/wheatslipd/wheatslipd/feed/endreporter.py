"""Brings reports of ends of servers up the tree: from this daemon to the one that it follows.

Updates carry them down to the followers. Up and down together a report reaches each daemon that
the tree connects, without the platform: what a cut keeps back goes up or down when a parent is
followed again.
"""

import asyncio
from collections.abc import Callable

from wheatslip.distribution.feedcache import FeedCache

from wheatslipd.feed.relay import EndReports, report_ends
from wheatslipd.tls import PeerTls

# Seconds until a parent that did not take reports is tried again.
RETRY_SECONDS = 0.5


class EndReporter:
    """Brings one daemon's reports to its parent."""

    def __init__(self, name: str, cache: FeedCache, parent: Callable[[], str], tls: PeerTls):
        """`parent` returns the name of the daemon that is followed now; empty: none."""
        self._name = name
        self._cache = cache
        self._parent = parent
        self._tls = tls
        self._changed = asyncio.Event()
        self._told = ""  # the parent that knows the reports up to `_told_up_to`
        self._told_up_to = 0

    def wake(self) -> None:
        """Message: there are new reports, or another parent is followed."""
        self._changed.set()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if not await self._tell():
                await asyncio.sleep(RETRY_SECONDS)
                self._changed.set()

    async def _tell(self) -> bool:
        """Bring the parent what it lacks; False if that should be tried again."""
        name = self._parent()
        instance = self._cache.instances.get(name)
        if instance is None:
            return True  # woken again when a parent is followed
        if name != self._told:
            self._told, self._told_up_to = name, 0
        position = self._cache.ends.position
        reports = self._cache.ends.after(self._told_up_to, exclude_source=name)
        if reports and not await report_ends(
            instance, EndReports(self._name, reports), self._tls
        ):
            return self._parent() != name
        self._told_up_to = position
        return True
