"""Log of the end reports that a daemon has received, in order of arrival.

An end report says that a backend server ended while requests ran on it, or that an operator
released a held request. Duplicates are ignored by report id, so daemons may forward reports in
any direction. Reports are dropped when they expire. This module does no I/O.
"""

from collections import OrderedDict
from dataclasses import dataclass

from wheatslip.quarantine import EndReport, is_valid

MAX_REPORTS = 512  # kept for followers, up to 1.3 kB each; the oldest are evicted


@dataclass(frozen=True, slots=True)
class _Entry:
    position: int
    source: str  # name of the daemon that sent the report
    report: EndReport


class EndLog:
    """The reports by position. Positions are local to this daemon."""

    def __init__(self) -> None:
        self._entries: OrderedDict[str, _Entry] = OrderedDict()  # by the report's id
        self.position = 0  # of the last report

    def add(self, report: EndReport, source: str, now: float) -> bool:
        """Adds a report sent by the daemon `source`. Returns false for a duplicate or expired
        report. `now` is in unix seconds.
        """
        self._drop_expired(now)
        if report.id in self._entries or not is_valid(report, now):
            return False
        self.position += 1
        self._entries[report.id] = _Entry(self.position, source, report)
        if len(self._entries) > MAX_REPORTS:
            self._entries.popitem(last=False)
        return True

    def after(self, position: int, exclude_source: str = "") -> tuple[EndReport, ...]:
        """The reports after a position, except those sent by the daemon `exclude_source`."""
        return tuple(
            entry.report
            for entry in self._entries.values()
            if entry.position > position and entry.source != exclude_source
        )

    def _drop_expired(self, now: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if is_valid(oldest.report, now):
                return
            del self._entries[oldest.report.id]
