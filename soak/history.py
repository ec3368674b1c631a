"""What a soak observed, and the check of the guarantees against it. This module does no I/O.

The records of callers and backend servers are trusted. Reports of daemons are used only where
the guarantee is about the report itself, such as the configuration version a daemon reports.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from wheatslip.quarantine import HOLD_AFTER_ENDS

from standins.backend import Run
from standins.caller import Request
from standins.verdict import judge

# Time after the third end within which all daemons must hold the request that ended the
# servers, and how many runs of it are allowed after that. Both are requirements of the users.
MAX_HOLD_DELAY_SECONDS = 3.0
MAX_RUNS_AFTER_HOLD = 3
# How many requests a server that names a limit may get in any window: the named rate times a
# tolerance, and a few more; counted from some time after it first named it. Also required.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_SLACK = 5
LIMIT_DELAY_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Observation:
    """The configuration version that a daemon reported. `restarts` counts the daemon's restarts
    until then.
    """

    at: float
    instance: str
    restarts: int
    version: int


@dataclass(frozen=True, slots=True)
class DrainedZone:
    """A zone drain, from the time at which it must be effective until the zone is restored."""

    zone: str
    effective_at: float
    restored_at: float


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """A rate in requests per second that a backend server named from `since` to `until`."""

    instance: str
    rate: float
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of a daemon, and the exit code."""

    instance: str
    code: int


@dataclass(frozen=True, slots=True)
class TimedRun:
    """One run of a request on a backend server, with its zone, start time and instance."""

    run: Run
    zone: str
    at: float
    instance: str = ""


@dataclass(slots=True)
class History:
    """Everything that one soak observed. Times are in seconds from its start."""

    requests: list[Request] = field(default_factory=list)
    ran: list[TimedRun] = field(default_factory=list)
    observations: list[Observation] = field(default_factory=list)
    drained_zones: list[DrainedZone] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    # Start times of the runs of the fatal request, and the times at which servers ended.
    fatal_runs: list[float] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)
    # Requests sent while no fault was active.
    final_answered: int = 0
    final_sent: int = 0


def find_violations(history: History) -> list[str]:
    """One sentence for each violated guarantee."""
    violations = judge(history.requests, [ran.run for ran in history.ran]).broken
    violations += _version_regressions(history.observations)
    violations += _runs_in_drained_zones(history)
    violations += _late_fatal_runs(history)
    violations += _runs_over_limits(history)
    violations += [
        f"{stop.instance} exited with code {stop.code} after a planned stop"
        for stop in history.planned_stops
        if stop.code != 0
    ]
    if history.final_answered < history.final_sent:
        unanswered = history.final_sent - history.final_answered
        violations.append(
            f"{unanswered} of {history.final_sent} requests not answered in the calm end"
        )
    return violations


def _version_regressions(observations: Sequence[Observation]) -> list[str]:
    # By instance and number of restarts: a restarted daemon may start at an older version.
    highest: dict[tuple[str, int], int] = {}
    violations = []
    for one in sorted(observations, key=lambda one: one.at):
        process = (one.instance, one.restarts)
        if one.version < highest.get(process, 0):
            violations.append(
                f"{one.instance} went back from version {highest[process]} to {one.version}"
            )
        highest[process] = max(highest.get(process, 0), one.version)
    return violations


def _late_fatal_runs(history: History) -> list[str]:
    if len(history.ends) < HOLD_AFTER_ENDS:
        return []
    last_end = sorted(history.ends)[HOLD_AFTER_ENDS - 1]
    late = [at for at in history.fatal_runs if at > last_end + MAX_HOLD_DELAY_SECONDS]
    if len(late) <= MAX_RUNS_AFTER_HOLD:
        return []
    return [
        f"the fatal request ran {len(late)} times more than {MAX_HOLD_DELAY_SECONDS:g} s after "
        f"{HOLD_AFTER_ENDS} servers had ended, at {late}"
    ]


def _runs_over_limits(history: History) -> list[str]:
    """More runs in a window than a named limit allows, whoever sent them."""
    violations = []
    for limit in history.limits:
        begin = limit.since + LIMIT_DELAY_SECONDS
        times = sorted(
            ran.at
            for ran in history.ran
            if ran.instance == limit.instance and begin <= ran.at < limit.until
        )
        allowed = LIMIT_TOLERANCE * limit.rate * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        most = max((_count_window(times, at) for at in times), default=0)
        if most > allowed:
            violations.append(
                f"{limit.instance} ran {most} requests in {LIMIT_WINDOW_SECONDS:g} s, over the "
                f"limit of {limit.rate:g} a second named at {limit.since:.2f} s"
            )
    return violations


def _count_window(times: Sequence[float], begin: float) -> int:
    return sum(begin <= at < begin + LIMIT_WINDOW_SECONDS for at in times)


def _runs_in_drained_zones(history: History) -> list[str]:
    return [
        f"{ran.run.request_id} ran in zone {ran.zone} at {ran.at:.2f} s, emptied since "
        f"{drain.effective_at:.2f} s"
        for drain in history.drained_zones
        for ran in history.ran
        if ran.zone == drain.zone and drain.effective_at < ran.at < drain.restored_at
    ]
