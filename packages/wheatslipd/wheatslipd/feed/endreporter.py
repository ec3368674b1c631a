"""Sends end reports (a backend server ended without notice) from this daemon to its parent.

Updates carry end reports from a parent to its followers, so a report reaches every daemon of
the relay tree without the platform. After a network partition, pending reports are delivered
once a parent is followed again.
"""

import asyncio
from collections.abc import Callable

from wheatslip.distribution.feedcache import FeedCache

from wheatslipd.feed.relay import EndReports, send_end_reports
from wheatslipd.tls import PeerTls

RETRY_SECONDS = 0.5  # pause after a failed delivery to the parent


class EndReporter:
    """Delivers the end reports that this daemon holds to its parent."""

    def __init__(self, name: str, cache: FeedCache, parent: Callable[[], str], tls: PeerTls):
        """`parent` returns the name of the current parent, or an empty string."""
        self._name = name
        self._cache = cache
        self._parent = parent
        self._tls = tls
        self._changed = asyncio.Event()
        # `_reported_parent` has received the reports up to `_reported_position`.
        self._reported_parent = ""
        self._reported_position = 0

    def wake(self) -> None:
        """Schedule a delivery, because of new reports or a change of the parent."""
        self._changed.set()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if not await self._send_reports():
                await asyncio.sleep(RETRY_SECONDS)
                self._changed.set()

    async def _send_reports(self) -> bool:
        """Send the parent the reports that it lacks; return False if a retry is needed."""
        name = self._parent()
        instance = self._cache.instances.get(name)
        if instance is None:
            return True  # `wake` is called when a parent is followed
        if name != self._reported_parent:
            self._reported_parent, self._reported_position = name, 0
        position = self._cache.ends.position
        reports = self._cache.ends.after(self._reported_position, exclude_source=name)
        if reports and not await send_end_reports(
            instance, EndReports(self._name, reports), self._tls
        ):
            return self._parent() != name
        self._reported_position = position
        return True
