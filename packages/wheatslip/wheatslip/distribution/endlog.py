"""The reports of ends of servers that a daemon knows, in the order in which they came here.

Reports are a set that only grows, until they are too old: whichever way one comes, and however
often, it is taken once. So daemons may pass them on in any direction. Pure.
"""

from collections import OrderedDict
from dataclasses import dataclass

from wheatslip.quarantine import EndReport, is_valid

# Reports kept for followers, up to 1.3 kB each; the oldest give way.
MAX_REPORTS = 512


@dataclass(frozen=True, slots=True)
class _Entry:
    position: int
    source: str  # the daemon that it came from
    report: EndReport


class EndLog:
    """The reports, each with its position. Positions are this daemon's own."""

    def __init__(self) -> None:
        self._entries: OrderedDict[str, _Entry] = OrderedDict()  # by the report's id
        self.position = 0  # of the last report

    def add(self, report: EndReport, source: str, now: float) -> bool:
        """Take a report that came from the daemon `source`; whether it is new here and young
        enough to count. `now` is in unix seconds.
        """
        self._drop_expired(now)
        if report.id in self._entries or not is_valid(report, now):
            return False
        self.position += 1
        self._entries[report.id] = _Entry(self.position, source, report)
        if len(self._entries) > MAX_REPORTS:
            self._entries.popitem(last=False)
        return True

    def after(self, position: int, but_from: str = "") -> tuple[EndReport, ...]:
        """The reports behind a position, except those that came from the daemon `but_from`."""
        return tuple(
            entry.report
            for entry in self._entries.values()
            if entry.position > position and entry.source != but_from
        )

    def _drop_expired(self, now: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if is_valid(oldest.report, now):
                return
            del self._entries[oldest.report.id]
