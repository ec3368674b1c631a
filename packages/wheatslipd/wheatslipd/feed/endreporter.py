"""Sends end reports (a backend server ended without notice) from this daemon to another one.

Updates carry end reports from a parent to its followers, so a report that also goes to the
parent reaches every daemon of the relay tree without the platform. After a network partition,
pending reports are delivered once a parent is followed again. Watchers may then follow each
other in several cycles, so a watcher also reports to its first parent in the ring.
"""

import asyncio
from collections.abc import Callable

from wheatslip.distribution.feedcache import FeedCache

from wheatslipd.feed.relay import EndReports, send_end_reports
from wheatslipd.tls import PeerTls

RETRY_SECONDS = 0.5  # pause after a failed delivery


class EndReporter:
    """Delivers the end reports that this daemon holds to one other daemon."""

    def __init__(self, name: str, cache: FeedCache, receiver: Callable[[], str], tls: PeerTls):
        """`receiver` returns the name of the present receiver, or an empty string."""
        self._name = name
        self._cache = cache
        self._receiver = receiver
        self._tls = tls
        self._changed = asyncio.Event()
        # `_reported_receiver` has received the reports up to `_reported_position`.
        self._reported_receiver = ""
        self._reported_position = 0

    def wake(self) -> None:
        """Schedule a delivery, because of new reports or a change of the receiver."""
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
        """Send the receiver the reports that it lacks; return False if a retry is needed."""
        name = self._receiver()
        instance = self._cache.instances.get(name)
        if instance is None:
            return True  # the next report or parent wakes it
        if name != self._reported_receiver:
            self._reported_receiver, self._reported_position = name, 0
        position = self._cache.ends.position
        reports = self._cache.ends.after(self._reported_position, exclude_source=name)
        if reports and not await send_end_reports(
            instance, EndReports(self._name, reports), self._tls
        ):
            return self._receiver() != name
        self._reported_position = position
        return True
