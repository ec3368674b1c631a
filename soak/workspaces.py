"""Workspaces by credential and their limits: what a soak observed, and the checks against it.

This module does no I/O. The checks use the requests that callers sent and the runs that backend
servers recorded; reports of daemons only tell when all of them had a version.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf

from wheatslip.quota.settings import QuotaSettings

from standins.caller import Reported, Request

# Until a configuration that was acknowledged counts at daemons that reach the platform. This
# and the bound of a limit (`QuotaSettings`) are requirements of the users.
CONFIGURATION_DELAY_SECONDS = 2.5
OBSERVATION_DELAY_SECONDS = 0.5  # within which an observation follows what it reports
BOUND = QuotaSettings()


@dataclass(frozen=True, slots=True)
class ArrivedRequest:
    """A request with its first start at a backend server, in seconds from the start."""

    request: Request
    at: float


@dataclass(frozen=True, slots=True)
class WorkspaceLimit:
    """A limit of a workspace from bundle `version` on, whose rollout began at `since`."""

    workspace: str
    rate: float
    burst: float
    version: int
    since: float


@dataclass(frozen=True, slots=True)
class RemovedCredential:
    """A credential that a configuration removed, and when that was acknowledged."""

    credential: str
    acknowledged_at: float


@dataclass(frozen=True, slots=True)
class Outage:
    """A time in which an instance did not run or reach the platform; all if it is empty."""

    instance: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Isolation:
    """A daemon that was cut off at `at`, and how many chunks its links withheld, by port."""

    instance: str
    at: float
    withheld: Mapping[str, int]


def effective_at(
    removed: RemovedCredential,
    instance: str,
    outages: Sequence[Outage],
    max_unconfirmed: float = inf,
) -> float:
    """From when the instance must refuse a credential: after the promised delay, within which
    it ran and reached the platform, but at most `max_unconfirmed` seconds after the removal.
    """
    effective = removed.acknowledged_at + CONFIGURATION_DELAY_SECONDS
    for outage in sorted(outages, key=lambda outage: outage.since):
        is_affected = outage.instance in ("", instance)
        begin = effective - CONFIGURATION_DELAY_SECONDS
        if is_affected and outage.since < effective and outage.until > begin:
            effective = outage.until + CONFIGURATION_DELAY_SECONDS
    return min(effective, removed.acknowledged_at + max_unconfirmed)


def wrong_workspaces(
    runs: Sequence[tuple[Request, str]], holders: Mapping[str, str]
) -> list[str]:
    """Runs beside which the server saw another workspace than the holder of the credential.

    `runs` has the workspace that the server saw; `holders` the workspace of each credential
    that a configuration held.
    """
    violations = []
    for request, workspace in runs:
        holder = holders.get(request.credential)
        if request.credential and holder is None:
            violations.append(
                f"{request.request_id} ran with a credential that no configuration held"
            )
        elif workspace != (holder or ""):
            violations.append(
                f"{request.request_id} ran as workspace {workspace!r}, but its credential is "
                f"of {holder or ''!r}"
            )
    return violations


def runs_with_removed_credentials(
    arrived: Sequence[ArrivedRequest],
    removals: Sequence[RemovedCredential],
    outages: Sequence[Outage],
    max_unconfirmed: float = inf,
) -> list[str]:
    violations = []
    for removed in removals:
        for one in arrived:
            request = one.request
            if request.credential != removed.credential:
                continue
            late = request.sent_at - effective_at(
                removed, request.entry, outages, max_unconfirmed
            )
            if late >= 0:
                violations.append(
                    f"{request.request_id} ran with a removed credential, sent to "
                    f"{request.entry} {late + CONFIGURATION_DELAY_SECONDS:.2f} s after the "
                    f"removal was acknowledged or that daemon reached the platform again"
                )
    return violations


def ineffective_confirmation_limits(
    requests: Sequence[Request],
    removals: Sequence[RemovedCredential],
    outages: Sequence[Outage],
    max_unconfirmed: float,
) -> list[str]:
    """Outages longer than `max_unconfirmed` whose daemon refused no credential for that, or did
    not get the removed one.
    """
    ineffective = []
    for outage in outages:
        late = [
            one
            for one in requests
            if one.entry == outage.instance
            and outage.since + max_unconfirmed < one.sent_at < outage.until
        ]
        if not any(one.reason == "unconfirmed" for one in late):
            ineffective.append(f"unconfirmed configuration of {outage.instance}")
        removed = {one.credential for one in removals if one.acknowledged_at < outage.until}
        if not any(one.credential in removed for one in late):
            ineffective.append(f"removed credential at {outage.instance}, unconfirmed")
    return ineffective


def ineffective_isolations(isolations: Sequence[Isolation]) -> list[str]:
    """Isolations that withheld no request of a caller, and all of them if none withheld one of
    another daemon, which sends none to a drained zone. Only some daemons have control
    connections, so the other ports are not required.
    """
    ineffective = [
        f"isolation of {one.instance} at {one.at:.1f} s from callers"
        for one in isolations
        if one.withheld["entry"] <= 0
    ]
    if isolations and all(one.withheld["peer"] <= 0 for one in isolations):
        ineffective.append("isolations from other daemons")
    return ineffective


def refused_credentials(
    requests: Sequence[Request],
    holders: Mapping[str, str],
    removals: Sequence[RemovedCredential],
) -> list[str]:
    """Requests refused as unauthenticated with a credential that was held all the time."""
    removed = {one.credential for one in removals}
    return [
        f"{request.request_id} refused although its credential is held"
        for request in requests
        if request.reported is Reported.NOT_RUN
        and request.reason == "unauthenticated"
        and request.credential in holders
        and request.credential not in removed
    ]


def runs_over_workspace_limits(
    arrived: Sequence[ArrivedRequest],
    limits: Sequence[WorkspaceLimit],
    version_known_at: Mapping[int, float],
) -> list[str]:
    """More requests of a workspace, sent and started within a window, than its limit allows.

    `version_known_at` is when all daemons had a version. A lower limit counts in windows that
    begin one window after that; a higher one from its rollout on.
    """
    by_workspace: defaultdict[str, list[WorkspaceLimit]] = defaultdict(list)
    for limit in sorted(limits, key=lambda limit: limit.version):
        by_workspace[limit.workspace].append(limit)
    violations = []
    for workspace, own in by_workspace.items():
        times = [
            (one.request.sent_at, one.at)
            for one in arrived
            if one.request.workspace == workspace
        ]
        for begin in sorted(sent_at for sent_at, _ in times):
            end = begin + BOUND.window
            count = sum(begin <= sent_at and at < end for sent_at, at in times)
            allowed = _allowed(own, begin, version_known_at)
            if count > allowed:
                violations.append(
                    f"{count} requests of {workspace} in {BOUND.window:g} s from "
                    f"{begin:.2f} s, over its limit, which allows {allowed:g}"
                )
                break  # the first window; later ones overlap
    return violations


def _allowed(
    limits: Sequence[WorkspaceLimit], begin: float, version_known_at: Mapping[int, float]
) -> float:
    """The bound for a window, by the highest limit that may count in it."""
    possible = []
    for number, limit in enumerate(limits):
        replaced_at = inf
        if number + 1 < len(limits):
            known_at = version_known_at.get(limits[number + 1].version, inf)
            replaced_at = known_at + BOUND.window
        if limit.since < begin + BOUND.window and begin < replaced_at:
            possible.append(limit)
    rate = max(limit.rate for limit in possible)
    burst = max(limit.burst for limit in possible)
    return (rate * BOUND.window + burst) * (1 + BOUND.overage) + BOUND.slack
