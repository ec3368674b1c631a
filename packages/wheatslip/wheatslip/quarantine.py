"""Which requests are kept from the backend servers, because servers end when they run them.

Each end of a server is reported with all requests that ran on it, the cause and others alike.
What tells them apart: a request that ends each server that begins to run it is never answered.

| standing | when | what follows |
| --- | --- | --- |
| free | no end since its last answer here | nothing |
| suspect | 1 or 2 ends since | a gate runs one suspect at a time, so the next end names one |
| held | `HELD_AFTER` ends since | refused as not run, by entries and gates alike |

An answer counts at the daemon that saw it: it needs no message, and those that have not seen
one go on being careful. An operator's lift counts everywhere. Reports, and so a hold, end by
age: an innocent request is served again, and one that still ends servers is held after as many
more.

Pure. Times are unix seconds, since reports pass from one daemon to another.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

SERVER_ENDS_KIND = "server-ends"  # of the platform's objects that keep reports
# Ends of servers in a row without an answer, after which a request is held. With 2, one that
# runs on a server that another request ends, and is tried again beside that request before its
# gate knows of them, would be held; with 4, each request that ends servers ends one more.
HELD_AFTER = 3
# Seconds for which a report counts. A held request is refused for as long, and an innocent one
# at the most; a request that ends servers ends three more in each such time.
REPORT_SECONDS = 300.0
# Requests of one end that are reported, the latest ones; a server with more slots has others
# reported at its next end. Bounds a report to about 1.3 kB.
MAX_REPORTED = 64
# Requests remembered, about 300 bytes each. The ones with the fewest ends give way, of those
# the oldest.
MAX_SUSPECTS = 2048
MAX_LIFTS = 256  # lifts remembered, so that late reports of ends before them do not count


class ServerEnd(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """A backend server ended while it ran these requests. `id` is that of the end alone."""

    id: str
    since: float
    service: str
    fingerprints: tuple[str, ...]


class Lift(msgspec.Struct, frozen=True, array_like=True, tag="lift"):
    """An operator has found a request innocent, or mended what it ended."""

    id: str
    since: float
    fingerprint: str


EndReport = ServerEnd | Lift


class Standing(StrEnum):
    """How a request may run."""

    FREE = "free"
    SUSPECT = "suspect"
    HELD = "held"


@dataclass(slots=True)
class Suspicion:
    """What is held against one request: when servers ended under it, the latest last."""

    fingerprint: str
    service: str
    ends: list[float] = field(default_factory=list)


class Quarantine:
    """What one daemon holds against requests, by their fingerprints."""

    def __init__(self) -> None:
        self._suspicions: OrderedDict[str, Suspicion] = OrderedDict()
        self._lifts: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        """How many requests something is held against; 0 spares the look at each request."""
        return len(self._suspicions)

    def take(self, report: EndReport, now: float) -> tuple[str, ...]:
        """Take a report that is new here; returns the fingerprints that are newly held."""
        match report:
            case ServerEnd():
                return self._take_end(report, now)
            case Lift():
                self._lift(report)
                return ()

    def answered(self, fingerprint: str) -> None:
        """A server here has answered the request without failing."""
        self._suspicions.pop(fingerprint, None)

    def standing(self, fingerprint: str, now: float) -> Standing:
        """How the request may run now."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return Standing.FREE
        if not self._keep_valid(suspicion, now):
            del self._suspicions[fingerprint]
            return Standing.FREE
        return Standing.HELD if len(suspicion.ends) >= HELD_AFTER else Standing.SUSPECT

    def held_for(self, fingerprint: str, now: float) -> float:
        """Seconds until the request is not held any more, if no server ends; 0: it is not."""
        if self.standing(fingerprint, now) is not Standing.HELD:
            return 0.0
        decisive = self._suspicions[fingerprint].ends[-HELD_AFTER]
        return decisive + REPORT_SECONDS - now

    def held(self, now: float) -> list[Suspicion]:
        """The requests that are held now."""
        known = list(self._suspicions)
        held = [name for name in known if self.standing(name, now) is Standing.HELD]
        return [self._suspicions[name] for name in held]

    def _take_end(self, end: ServerEnd, now: float) -> tuple[str, ...]:
        if not is_valid(end, now):
            return ()
        # By a clock that is ahead of ours, an end would count for longer than it should.
        end = msgspec.structs.replace(end, since=min(end.since, now))
        newly_held = []
        for fingerprint in end.fingerprints:
            if end.since <= self._lifts.get(fingerprint, 0.0):
                continue
            before = self.standing(fingerprint, now)
            self._note(fingerprint, end)
            after = self.standing(fingerprint, now)
            if before is not after and after is Standing.HELD:
                newly_held.append(fingerprint)
        return tuple(newly_held)

    def _note(self, fingerprint: str, end: ServerEnd) -> None:
        suspicion = self._suspicions.pop(fingerprint, None)
        if suspicion is None:
            self._make_room()
            suspicion = Suspicion(fingerprint, end.service)
        suspicion.ends.append(end.since)
        suspicion.ends.sort()
        del suspicion.ends[:-HELD_AFTER]
        self._suspicions[fingerprint] = suspicion

    def _make_room(self) -> None:
        if len(self._suspicions) >= MAX_SUSPECTS:
            # `min` takes the first of equals, which is the oldest.
            least = min(self._suspicions.values(), key=lambda suspicion: len(suspicion.ends))
            del self._suspicions[least.fingerprint]

    def _lift(self, lift: Lift) -> None:
        self._suspicions.pop(lift.fingerprint, None)
        self._lifts[lift.fingerprint] = lift.since
        if len(self._lifts) > MAX_LIFTS:
            self._lifts.popitem(last=False)

    @staticmethod
    def _keep_valid(suspicion: Suspicion, now: float) -> bool:
        """Drop the ends that are too old; whether any is left."""
        suspicion.ends = [since for since in suspicion.ends if since > now - REPORT_SECONDS]
        return bool(suspicion.ends)


def is_valid(report: EndReport, now: float) -> bool:
    """Whether a report is young enough to count."""
    return report.since > now - REPORT_SECONDS


def unexpired(reports: Iterable[EndReport], now: float) -> tuple[EndReport, ...]:
    """The reports that still count."""
    return tuple(report for report in reports if is_valid(report, now))
