"""What a soak observed, and the check of the guarantees against it. This module does no I/O.

The records of callers and backend servers are trusted. Reports of daemons are used only where
the guarantee is about the report itself, such as the configuration version a daemon reports.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf

from wheatslip.quarantine import HOLD_AFTER_ENDS

from soak.ranks import Overload, ineffective_overloads, misordered_kinds
from soak.workspaces import (
    OBSERVATION_DELAY_SECONDS,
    ArrivedRequest,
    Isolation,
    Outage,
    RemovedCredential,
    WorkspaceLimit,
    effective_at,
    ineffective_confirmation_limits,
    ineffective_isolations,
    refused_credentials,
    runs_over_workspace_limits,
    runs_with_removed_credentials,
    wrong_workspaces,
)
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
THAW_SECONDS = 0.5  # within which a server that was frozen starts what it has got


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
class FrozenServer:
    """A time in which nothing passed between a daemon and its backend server."""

    instance: str
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
    # With the routes interface: the workspace of each credential that a configuration held.
    credentials: dict[str, str] = field(default_factory=dict)
    removals: list[RemovedCredential] = field(default_factory=list)
    workspace_limits: list[WorkspaceLimit] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    max_unconfirmed: float = inf  # seconds
    unconfirmed: list[Outage] = field(default_factory=list)  # that are longer
    isolations: list[Isolation] = field(default_factory=list)
    frozen_servers: list[FrozenServer] = field(default_factory=list)
    overloads: list[Overload] = field(default_factory=list)
    ineffective_faults: list[str] = field(default_factory=list)

    def arrived(self) -> list[ArrivedRequest]:
        """The requests that ran, each with its first start at a backend server."""
        first_starts: dict[str, float] = {}
        for ran in self.ran:
            request_id = ran.run.request_id
            first_starts[request_id] = min(ran.at, first_starts.get(request_id, inf))
        return [
            ArrivedRequest(request, first_starts[request.request_id])
            for request in self.requests
            if request.request_id in first_starts
        ]

    def known_at(self, version: int) -> float:
        """When all daemons had a version at the latest; infinite if one never had it."""
        times: dict[str, float] = {}
        for one in self.observations:
            at = one.at if one.version >= version else inf
            times[one.instance] = min(at, times.get(one.instance, inf))
        return max(times.values(), default=inf) + OBSERVATION_DELAY_SECONDS


def find_violations(history: History) -> list[str]:
    """One sentence for each violated guarantee."""
    violations = judge(history.requests, [ran.run for ran in history.ran]).broken
    violations += _version_regressions(history.observations)
    violations += _runs_in_drained_zones(history)
    violations += _late_fatal_runs(history)
    violations += _runs_over_limits(history)
    if history.credentials:
        violations += _workspace_violations(history)
        violations += _untested_guarantees(history)
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


def _workspace_violations(history: History) -> list[str]:
    requests = {request.request_id: request for request in history.requests}
    runs = [(requests.get(ran.run.request_id), ran.run) for ran in history.ran]
    known = [(request, run.workspace) for request, run in runs if request is not None]
    arrived = history.arrived()
    known_at = {
        limit.version: history.known_at(limit.version) for limit in history.workspace_limits
    }
    return [
        *wrong_workspaces(known, history.credentials),
        *(
            f"a backend server got the credential of {run.request_id}"
            for _, run in runs
            if run.credential
        ),
        *runs_with_removed_credentials(
            arrived, history.removals, history.outages, history.max_unconfirmed
        ),
        *refused_credentials(history.requests, history.credentials, history.removals),
        *runs_over_workspace_limits(arrived, history.workspace_limits, known_at),
        *misordered_kinds(history.requests, history.overloads),
    ]


def _untested_guarantees(history: History) -> list[str]:
    """Faults and traffic that did not put the guarantees to the test."""
    ineffective = [
        *history.ineffective_faults,
        *_ineffective_removals(history),
        *_ineffective_limits(history),
        *ineffective_confirmation_limits(
            history.requests, history.removals, history.unconfirmed, history.max_unconfirmed
        ),
        *ineffective_isolations(history.isolations),
        *_ineffective_freezes(history),
        *ineffective_overloads(history.requests, history.overloads),
    ]
    return [f"fault without effect: {fault}" for fault in ineffective]


def _ineffective_freezes(history: History) -> list[str]:
    """All frozen servers, if none got a request meanwhile that it ran afterwards."""
    if history.frozen_servers and not _held_back(history):
        return ["frozen servers"]
    return []


def _held_back(history: History) -> dict[TimedRun, float]:
    """The runs of requests that were sent before the end of a freeze of their server, which
    started them soon after it; with the times at which they were sent.
    """
    sent_at = {request.request_id: request.sent_at for request in history.requests}
    return {
        ran: sent_at[ran.run.request_id]
        for frozen in history.frozen_servers
        for ran in history.ran
        if ran.instance == frozen.instance
        and frozen.until <= ran.at < frozen.until + THAW_SECONDS
        and sent_at.get(ran.run.request_id, inf) < frozen.until
    }


def _ineffective_removals(history: History) -> list[str]:
    ran_ids = {ran.run.request_id for ran in history.ran}
    ineffective = []
    for removed in history.removals:
        own = [one for one in history.requests if one.credential == removed.credential]
        if not any(one.request_id in ran_ids for one in own):
            ineffective.append("removal of a credential that no request had run with")
        if not any(
            one.sent_at > effective_at(removed, one.entry, history.outages) for one in own
        ):
            ineffective.append("removal of a credential that no request used later")
    return ineffective


def _ineffective_limits(history: History) -> list[str]:
    """The lowered limit, unless it refused requests both before and after it was lowered."""
    if not history.workspace_limits:
        return []
    lowered = min(history.workspace_limits, key=lambda limit: limit.rate)
    refused_at = [
        one.sent_at
        for one in history.requests
        if one.workspace == lowered.workspace and one.reason == "over-limit"
    ]
    ineffective = []
    if not any(at < lowered.since for at in refused_at):
        ineffective.append(f"limit of {lowered.workspace} before it was lowered")
    if not any(at > history.known_at(lowered.version) for at in refused_at):
        ineffective.append(f"lowered limit of {lowered.workspace}")
    return ineffective


def _count_window(times: Sequence[float], begin: float) -> int:
    return sum(begin <= at < begin + LIMIT_WINDOW_SECONDS for at in times)


def _runs_in_drained_zones(history: History) -> list[str]:
    held_back = _held_back(history)
    return [
        f"{ran.run.request_id} ran in zone {ran.zone} at {ran.at:.2f} s, emptied since "
        f"{drain.effective_at:.2f} s"
        for drain in history.drained_zones
        for ran in history.ran
        if ran.zone == drain.zone
        and drain.effective_at < ran.at < drain.restored_at
        # A server that was frozen starts what it had got before the drain.
        and held_back.get(ran, inf) >= drain.effective_at
    ]
