"""Stores the end reports made by this daemon on the platform, for daemons that start later.

Daemons hold end reports in memory only, so reports survive a stop of all daemons only on the
platform. Each daemon writes the object that has its own name, and reads the objects of all
daemons once at its start.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress

import msgspec
from result import Err, Ok
from wheatslip.decoding import decode_json
from wheatslip.quarantine import (
    REPORT_TTL_SECONDS,
    SERVER_ENDS_KIND,
    EndReport,
    unexpired_reports,
)
from wheatslip.store.objects import StoredObject

from wheatslipd.feed.access import PlatformAccess, log_unavailable
from wheatslipd.feed.ownobject import OwnObject
from wheatslipd.telemetry import logs

MAX_STORED_REPORTS = 16  # up to 1.3 kB each; the oldest are dropped first


class StoredEnds(msgspec.Struct, frozen=True):
    """The value of the object that stores the end reports of one daemon."""

    reports: tuple[EndReport, ...] = ()


class EndStore:
    """Maintains the platform's copy of the end reports made by this daemon."""

    def __init__(self, name: str, access: PlatformAccess, unix: Callable[[], float]):
        """`unix` returns the Unix time in seconds."""
        self._name = name
        self._store = access.store
        self._access = access
        self._unix = unix
        self._reports: tuple[EndReport, ...] = ()
        self._object = OwnObject(access.store, SERVER_ENDS_KIND, name)
        self._changed = asyncio.Event()

    def add(self, report: EndReport) -> None:
        """Add a report made by this daemon and schedule a write."""
        self._reports = (*self._reports, report)[-MAX_STORED_REPORTS:]
        self._changed.set()

    async def run(self) -> None:
        """Read the reports of all daemons once, then write each change of the own reports.

        Runs until cancelled.
        """
        backoff = self._access.backoff()
        while not await self._read_all():
            await asyncio.sleep(backoff.next())
        while True:
            await self._wait_for_change()
            backoff.reset()
            while not await self._write():
                await asyncio.sleep(backoff.next())

    async def _wait_for_change(self) -> None:
        """Wait for a new report, at most until all stored reports have expired."""
        with suppress(TimeoutError):
            async with asyncio.timeout(REPORT_TTL_SECONDS if self._reports else None):
                await self._changed.wait()
        self._changed.clear()

    async def _read_all(self) -> bool:
        """Apply the stored reports of all daemons; return whether the platform answered."""
        match await self._store.list(SERVER_ENDS_KIND, stale_ok=True):
            case Ok(listing):
                for item in listing.items:
                    self._apply_stored(item)
                return True
            case Err(unavailable):
                log_unavailable(unavailable)
        return False

    def _apply_stored(self, item: StoredObject) -> None:
        reports = _decode_reports(item)
        if item.name == self._name:
            self._object.adopt(item)
            self._merge_own_reports(reports)
        self._access.cache_writer.apply_end_reports(reports, item.name)

    def _merge_own_reports(self, reports: tuple[EndReport, ...]) -> None:
        """Prepend the reports that an earlier process of this daemon stored."""
        current_ids = {report.id for report in self._reports}
        earlier_reports = tuple(report for report in reports if report.id not in current_ids)
        self._reports = (*earlier_reports, *self._reports)[-MAX_STORED_REPORTS:]

    async def _write(self) -> bool:
        """Write the unexpired reports; return False if a retry is needed."""
        self._reports = unexpired_reports(self._reports, self._unix())
        if not self._reports:
            return await self._object.delete()
        match await self._object.write(StoredEnds(self._reports)):
            case Ok(_):
                return True
            case Err(StoredObject() as existing):
                self._merge_own_reports(_decode_reports(existing))
        return False


def _decode_reports(item: StoredObject) -> tuple[EndReport, ...]:
    """Return the reports in an object, or none if it cannot be decoded."""
    match decode_json(item.value, StoredEnds):
        case Ok(stored):
            return stored.reports
        case Err(reason):
            logs.warning("server-ends-unreadable", name=item.name, error=reason)
    return ()
