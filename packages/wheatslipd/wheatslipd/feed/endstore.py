"""Keeps this daemon's own reports of ends of servers at the platform, for daemons that start.

Daemons tell each other what they know, and forget it with their processes. When all of them
stop at once the platform's copy is what is left: each daemon that starts reads all copies once.
A daemon writes only the object that has its own name.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress

import msgspec
from result import Err, Ok
from wheatslip.quarantine import (
    REPORT_TTL_SECONDS,
    SERVER_ENDS_KIND,
    EndReport,
    unexpired_reports,
)
from wheatslip.store.objects import Conflict, StoredObject, Unavailable

from wheatslipd.feed.access import PlatformAccess, log_trouble
from wheatslipd.telemetry import logs

# Own reports that are kept, up to 1.3 kB each; the oldest give way.
MAX_KEPT = 16


class StoredEnds(msgspec.Struct, frozen=True):
    """The value of a daemon's object."""

    reports: tuple[EndReport, ...] = ()


class EndStore:
    """The copy of one daemon's reports."""

    def __init__(self, name: str, access: PlatformAccess, unix: Callable[[], float]):
        """`unix` in seconds."""
        self._name = name
        self._store = access.store
        self._access = access
        self._unix = unix
        self._kept: tuple[EndReport, ...] = ()
        self._version = 0  # of the object; 0: there is none
        self._changed = asyncio.Event()

    def keep(self, report: EndReport) -> None:
        """Message: this daemon has made a report."""
        self._kept = (*self._kept, report)[-MAX_KEPT:]
        self._changed.set()

    async def run(self) -> None:
        """Read what all daemons keep, then write what changes here. Runs until cancelled."""
        backoff = self._access.backoff()
        while not await self._read_all():
            await asyncio.sleep(backoff.next())
        while True:
            await self._wait_for_change()
            backoff.reset()
            while not await self._write():
                await asyncio.sleep(backoff.next())

    async def _wait_for_change(self) -> None:
        """Wait for a new report, or until all that are kept have expired."""
        with suppress(TimeoutError):
            async with asyncio.timeout(REPORT_TTL_SECONDS if self._kept else None):
                await self._changed.wait()
        self._changed.clear()

    async def _read_all(self) -> bool:
        """Take what all daemons keep; whether the platform answered."""
        match await self._store.list(SERVER_ENDS_KIND, stale_ok=True):
            case Ok(listing):
                for item in listing.items:
                    self._take(item)
                return True
            case Err(trouble):
                log_trouble(trouble)
        return False

    def _take(self, item: StoredObject) -> None:
        reports = _decoded(item)
        if item.name == self._name:
            self._take_own(item, reports)
        self._access.intake.take_ends(reports, item.name)

    def _take_own(self, found: StoredObject, reports: tuple[EndReport, ...]) -> None:
        """Go on from what the platform holds in our name: a start before this one wrote it."""
        ours = {report.id for report in self._kept}
        before = tuple(report for report in reports if report.id not in ours)
        self._kept = (*before, *self._kept)[-MAX_KEPT:]
        self._version = found.version

    async def _write(self) -> bool:
        """Let the platform hold what is kept here; False if that should be tried again."""
        self._kept = unexpired_reports(self._kept, self._unix())
        if not self._kept:
            return await self._delete()
        value = StoredEnds(self._kept)
        match await self._store.put(SERVER_ENDS_KIND, self._name, value, self._version):
            case Ok(stored):
                self._version = stored.version
                return True
            case Err(Conflict(None)):
                self._version = 0
            case Err(Conflict(StoredObject() as found)):
                # The answer to an earlier write was lost, or a start before this one wrote.
                self._take_own(found, _decoded(found))
            case Err(Unavailable() as trouble):
                log_trouble(trouble)
        return False

    async def _delete(self) -> bool:
        if not self._version:
            return True
        match await self._store.delete(SERVER_ENDS_KIND, self._name, self._version):
            case Ok(_):
                self._version = 0
                return True
            case Err(Conflict(StoredObject() as found)):
                self._version = found.version
            case Err(Unavailable() as trouble):
                log_trouble(trouble)
        return False


def _decoded(item: StoredObject) -> tuple[EndReport, ...]:
    """The reports in an object; none if it can't be read."""
    try:
        return msgspec.json.decode(item.value, type=StoredEnds).reports
    except msgspec.DecodeError as error:
        logs.warning("server-ends-unreadable", name=item.name, error=str(error))
        return ()
