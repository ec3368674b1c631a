"""What a soak has observed, and the promises that it breaks. Pure code.

The records of callers and backend servers are trusted. What daemons report counts only where
the report itself is the promise, as with the version that a daemon reports to be in force.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from wheatslip.quarantine import HOLD_AFTER_ENDS

from standins.backend import Run
from standins.caller import Request
from standins.verdict import judge

# Seconds after the third end within which all daemons must know of the request that ended
# servers, and how often it may run later than that: what the users' rules allow.
KNOWN_SECONDS = 3.0
ALLOWED_LATER = 3


@dataclass(frozen=True, slots=True)
class Observation:
    """The version that a daemon reported. `life` counts the daemon's restarts."""

    at: float
    instance: str
    life: int
    version: int


@dataclass(frozen=True, slots=True)
class DrainedZone:
    """A zone drain: all daemons reported it before `known`; it was restored at `end`."""

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
    """All that one soak has observed. Times in seconds from its start."""

    requests: list[Request] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    observations: list[Observation] = field(default_factory=list)
    drained_zones: list[DrainedZone] = field(default_factory=list)
    stopped: list[Stopped] = field(default_factory=list)
    # When servers began to run the request that ends them, and when they ended.
    fatal_runs: list[float] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)
    last_answered: int = 0  # requests of the calm end that were answered
    last_sent: int = 0


def broken_promises(history: History) -> list[str]:
    """A sentence for each promise that the history breaks."""
    broken = judge(history.requests, [ran.run for ran in history.ran]).broken
    broken += _versions_that_went_back(history.observations)
    broken += _runs_in_drained_zones(history)
    broken += _sent_on_after_ends(history)
    broken += [
        f"{stop.instance} ended with {stop.code} after a planned stop"
        for stop in history.stopped
        if stop.code != 0
    ]
    if history.last_answered < history.last_sent:
        lost = history.last_sent - history.last_answered
        broken.append(f"{lost} of {history.last_sent} not answered in the calm end")
    return broken


def _versions_that_went_back(observations: Sequence[Observation]) -> list[str]:
    highest: dict[tuple[str, int], int] = {}
    broken = []
    for one in sorted(observations, key=lambda one: one.at):
        life = (one.instance, one.life)
        if one.version < highest.get(life, 0):
            broken.append(
                f"{one.instance} went back from version {highest[life]} to {one.version}"
            )
        highest[life] = max(highest.get(life, 0), one.version)
    return broken


def _sent_on_after_ends(history: History) -> list[str]:
    """A request under which three servers have ended must be known everywhere soon after."""
    if len(history.ends) < HOLD_AFTER_ENDS:
        return []
    third = sorted(history.ends)[HOLD_AFTER_ENDS - 1]
    later = [at for at in history.fatal_runs if at > third + KNOWN_SECONDS]
    if len(later) <= ALLOWED_LATER:
        return []
    return [
        f"ran {len(later)} times more after {HOLD_AFTER_ENDS} servers had ended, at {later}"
    ]


def _runs_in_drained_zones(history: History) -> list[str]:
    return [
        f"{ran.run.request_id} ran in {ran.zone} at {ran.at:.2f} s, emptied since "
        f"{drain.known:.2f} s"
        for drain in history.drained_zones
        for ran in history.ran
        if ran.zone == drain.zone and drain.known < ran.at < drain.end
    ]
