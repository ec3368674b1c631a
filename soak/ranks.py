"""Whether requests of urgent kinds were served first when capacity was short.

This module does no I/O.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt
from typing import NamedTuple

from soak.configuration import LATE_KIND, URGENT_KIND
from standins.caller import Reported, Request

# By how much a kind may be answered less often than a less urgent one of the same service. A
# requirement of the users.
RANK_TOLERANCE = 0.05
CAPACITY_REASONS = frozenset({"overloaded", "over-share", "deadline"})
CHANCE_DEVIATIONS = 3.0  # standard deviations of a difference of shares
MAX_ANSWERED_LATE_SHARE = 0.9  # of the less urgent kind, else capacity was not short


@dataclass(frozen=True, slots=True)
class Overload:
    """A time in which requests of an urgent and of a late kind exceeded what servers can do."""

    since: float
    until: float


def misordered_kinds(requests: Sequence[Request], overloads: Sequence[Overload]) -> list[str]:
    """Overloads in which the urgent kind was answered less often than the late one, by more
    than the promised tolerance and chance.
    """
    violations = []
    for overload in overloads:
        urgent = _judge_kind(requests, overload, URGENT_KIND)
        late = _judge_kind(requests, overload, LATE_KIND)
        by_chance = CHANCE_DEVIATIONS * sqrt(urgent.variance + late.variance)
        if urgent.answered < late.answered - RANK_TOLERANCE - by_chance:
            violations.append(
                f"the urgent kind was answered less often ({urgent.answered:.2f}) than the "
                f"late one ({late.answered:.2f}) from {overload.since:.1f} s"
            )
    return violations


def ineffective_overloads(
    requests: Sequence[Request], overloads: Sequence[Overload]
) -> list[str]:
    """Overloads in which capacity was not short."""
    return [
        f"overload at {overload.since:.1f} s"
        for overload in overloads
        if _judge_kind(requests, overload, LATE_KIND).answered > MAX_ANSWERED_LATE_SHARE
    ]


class _KindShare(NamedTuple):
    """The answered share of the requests of a kind, and the variance of that share."""

    answered: float
    variance: float


def _judge_kind(requests: Sequence[Request], overload: Overload, kind: str) -> _KindShare:
    """Count the requests of an overload that were answered, or refused or late because capacity
    was short; other faults strike all kinds alike.
    """
    counted = [
        one.reported is Reported.ANSWERED
        for one in requests
        if one.kind == kind
        and overload.since <= one.sent_at < overload.until
        and (one.reported is Reported.ANSWERED or one.reason in CAPACITY_REASONS)
    ]
    count = max(1, len(counted))
    share = sum(counted) / count
    return _KindShare(share, share * (1 - share) / count)
