"""Quarantine for requests that may end the backend servers that run them.

When a server ends, all requests that ran on it are reported, harmful and harmless ones. A
request that ends every server that runs it is never answered, so an answer clears a request.

| standing | condition | effect |
| --- | --- | --- |
| free | no end since its last answer here | none |
| suspect | 1 or 2 ends since | a gate runs one suspect at a time, so an end has one suspect |
| held | `HOLD_AFTER_ENDS` ends since | entries and gates refuse it as not run |

An answer counts only at the daemon that saw it, so it needs no message; other daemons keep
their records. An operator's lift counts at all daemons. Reports expire, and holds with them: a
harmless request is then served again, and a harmful one is held again after `HOLD_AFTER_ENDS`
more ends.

This module does no I/O. Times are in unix seconds, since daemons exchange reports.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

SERVER_ENDS_KIND = "server-ends"  # kind of the platform objects that store reports
# Above 2: a harmless request may run beside the same harmful one twice before reports arrive.
# Not higher, since each harmful request ends that many servers.
HOLD_AFTER_ENDS = 3
REPORT_TTL_SECONDS = 300.0  # also the longest hold without new ends
MAX_REPORTED_REQUESTS = 64  # requests reported for one end, the latest ones: about 1.3 kB
# Records of about 300 bytes; evicts the one with the fewest ends, the oldest of these first.
MAX_SUSPECTS = 2048
MAX_LIFTS = 256  # remembered to ignore late reports of ends that happened before a lift


class ServerEnd(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """A backend server ended while it ran these requests. `id` is unique to the end."""

    id: str
    since: float
    service: str
    fingerprints: tuple[str, ...]


class Lift(msgspec.Struct, frozen=True, array_like=True, tag="lift"):
    """An operator releases a request, because it is harmless or the servers were fixed."""

    id: str
    since: float
    fingerprint: str


EndReport = ServerEnd | Lift


class Standing(StrEnum):
    """Whether and how a request may run."""

    FREE = "free"
    SUSPECT = "suspect"
    HELD = "held"


@dataclass(slots=True)
class SuspectRecord:
    """The times at which servers ended while they ran one request, latest last."""

    fingerprint: str
    service: str
    ends: list[float] = field(default_factory=list)


class Quarantine:
    """The suspect records of one daemon, by fingerprint."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, SuspectRecord] = OrderedDict()
        self._lifts: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        """Number of requests with records; if it is 0, callers can skip the lookup."""
        return len(self._records)

    def take(self, report: EndReport, now: float) -> tuple[str, ...]:
        """Adds a report that is new here; returns the fingerprints that become held by it."""
        match report:
            case ServerEnd():
                return self._add_end(report, now)
            case Lift():
                self._apply_lift(report)
                return ()

    def answered(self, fingerprint: str) -> None:
        """A server here answered the request without failing."""
        self._records.pop(fingerprint, None)

    def standing(self, fingerprint: str, now: float) -> Standing:
        record = self._records.get(fingerprint)
        if record is None:
            return Standing.FREE
        if not self._drop_expired(record, now):
            del self._records[fingerprint]
            return Standing.FREE
        return Standing.HELD if len(record.ends) >= HOLD_AFTER_ENDS else Standing.SUSPECT

    def held_for(self, fingerprint: str, now: float) -> float:
        """Seconds until the hold expires if there are no new ends; 0 if it is not held."""
        if self.standing(fingerprint, now) is not Standing.HELD:
            return 0.0
        oldest = self._records[fingerprint].ends[-HOLD_AFTER_ENDS]
        return oldest + REPORT_TTL_SECONDS - now

    def held(self, now: float) -> list[SuspectRecord]:
        fingerprints = list(self._records)
        held_names = [
            name for name in fingerprints if self.standing(name, now) is Standing.HELD
        ]
        return [self._records[name] for name in held_names]

    def _add_end(self, end: ServerEnd, now: float) -> tuple[str, ...]:
        if not is_valid(end, now):
            return ()
        # If the reporter's clock is ahead, the report would expire too late.
        end = msgspec.structs.replace(end, since=min(end.since, now))
        newly_held = []
        for fingerprint in end.fingerprints:
            if end.since <= self._lifts.get(fingerprint, 0.0):
                continue
            old_standing = self.standing(fingerprint, now)
            self._record_end(fingerprint, end)
            new_standing = self.standing(fingerprint, now)
            if old_standing is not new_standing and new_standing is Standing.HELD:
                newly_held.append(fingerprint)
        return tuple(newly_held)

    def _record_end(self, fingerprint: str, end: ServerEnd) -> None:
        record = self._records.pop(fingerprint, None)
        if record is None:
            self._evict_if_full()
            record = SuspectRecord(fingerprint, end.service)
        record.ends.append(end.since)
        record.ends.sort()
        del record.ends[:-HOLD_AFTER_ENDS]
        self._records[fingerprint] = record

    def _evict_if_full(self) -> None:
        if len(self._records) >= MAX_SUSPECTS:
            # `min` returns the first of equal records, which is the oldest.
            evicted = min(self._records.values(), key=lambda record: len(record.ends))
            del self._records[evicted.fingerprint]

    def _apply_lift(self, lift: Lift) -> None:
        self._records.pop(lift.fingerprint, None)
        self._lifts[lift.fingerprint] = lift.since
        if len(self._lifts) > MAX_LIFTS:
            self._lifts.popitem(last=False)

    @staticmethod
    def _drop_expired(record: SuspectRecord, now: float) -> bool:
        """Drops expired ends; returns whether any are left."""
        record.ends = [since for since in record.ends if since > now - REPORT_TTL_SECONDS]
        return bool(record.ends)


def is_valid(report: EndReport, now: float) -> bool:
    """Whether a report has not expired."""
    return report.since > now - REPORT_TTL_SECONDS


def unexpired_reports(reports: Iterable[EndReport], now: float) -> tuple[EndReport, ...]:
    return tuple(report for report in reports if is_valid(report, now))
