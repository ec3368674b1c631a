"""What a soak has seen, and the promises that it breaks. Pure code.

Callers and backend servers are believed, daemons are not: their word counts only where it is
the promise itself, as the version that one says it has in force.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from standins.backend import Run
from standins.caller import Asked
from standins.verdict import judge


@dataclass(frozen=True, slots=True)
class Seen:
    """One look at a daemon: which of its lives (a restart begins a new one), and its word."""

    at: float
    instance: str
    life: int
    version: int


@dataclass(frozen=True, slots=True)
class Emptied:
    """A zone was emptied: all daemons said so before `known`; it was taken back at `end`."""

    zone: str
    known: float
    end: float


@dataclass(frozen=True, slots=True)
class Stopped:
    """A planned stop of a daemon: its exit code."""

    instance: str
    code: int


@dataclass(frozen=True, slots=True)
class Ran:
    """One run, and where and when it began."""

    run: Run
    zone: str
    at: float


@dataclass(slots=True)
class History:
    """All that one soak has seen. Times in seconds from its start."""

    asked: list[Asked] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    seen: list[Seen] = field(default_factory=list)
    emptied: list[Emptied] = field(default_factory=list)
    stopped: list[Stopped] = field(default_factory=list)
    last_answered: int = 0  # requests of the calm end that were answered
    last_asked: int = 0


def broken_promises(history: History) -> list[str]:
    """A sentence for each promise that the history breaks."""
    broken = judge(history.asked, [ran.run for ran in history.ran]).broken
    broken += _versions_that_went_back(history.seen)
    broken += _runs_in_emptied_zones(history)
    broken += [
        f"{stop.instance} ended with {stop.code} after a planned stop"
        for stop in history.stopped
        if stop.code != 0
    ]
    if history.last_answered < history.last_asked:
        lost = history.last_asked - history.last_answered
        broken.append(f"{lost} of {history.last_asked} not answered in the calm end")
    return broken


def _versions_that_went_back(seen: Sequence[Seen]) -> list[str]:
    highest: dict[tuple[str, int], int] = {}
    broken = []
    for look in sorted(seen, key=lambda look: look.at):
        life = (look.instance, look.life)
        if look.version < highest.get(life, 0):
            broken.append(
                f"{look.instance} went back from version {highest[life]} to {look.version}"
            )
        highest[life] = max(highest.get(life, 0), look.version)
    return broken


def _runs_in_emptied_zones(history: History) -> list[str]:
    return [
        f"{ran.run.request_id} ran in {ran.zone} at {ran.at:.2f} s, emptied since "
        f"{emptied.known:.2f} s"
        for emptied in history.emptied
        for ran in history.ran
        if ran.zone == emptied.zone and emptied.known < ran.at < emptied.end
    ]
