"""State of one workspace's limit at a daemon, and how it passes between primaries."""

from dataclasses import dataclass
from enum import Enum, StrEnum, auto

from wheatslip.quota.bucket import TokenBucket
from wheatslip.quota.parts import CANDIDATES
from wheatslip.quota.retryschedule import RetrySchedule

SETTLE_SECONDS = 3.0  # by then every entry has the list that made a daemon the primary
YIELD_SECONDS = 2.0  # for which a former primary grants; by then every entry has the list
SILENT_SECONDS = 1.0  # for which a silent primary gets no asks from another candidate


class Position(StrEnum):
    """Name of this daemon's position in a workspace's rendezvous order."""

    PRIMARY = "primary"
    SECOND = "second"
    THIRD = "third"
    NONE = "none"


class Succession(Enum):
    """What a new primary knows of the former one."""

    UNKNOWN = auto()
    SILENT = auto()  # it may grant until it has the list, `YIELD_SECONDS` after this one
    DONE = auto()  # it grants no more


CANDIDATE_POSITIONS = (Position.PRIMARY, Position.SECOND, Position.THIRD)


@dataclass(frozen=True, slots=True)
class QuotaStats:
    """State of one workspace for the status page; `granted` and `refused` count tokens."""

    workspace: str
    rate: float
    burst: float
    granted: int
    refused: int
    position: Position


@dataclass(slots=True)
class Quota:
    """One workspace.

    `position` is this daemon's index in the rendezvous order, 0 for the primary. `since` is
    when it got there, or when the list was confirmed after a lapse.
    """

    version: int
    rate: float
    burst: float
    position: int
    since: float
    bucket: TokenBucket
    retries: RetrySchedule
    asked_at: float
    failover_until: float = float("-inf")
    succession: Succession = Succession.UNKNOWN
    silent_until: float = float("-inf")  # no ask is passed on before
    yields_until: float = float("-inf")  # grants as the primary that it was, if relayed to
    relayed_at: float = float("-inf")  # last ask that the new primary has passed on
    leftover: int = 0  # tokens that its bucket held as a primary, taken out since
    granted: int = 0
    refused: int = 0

    def take_leftover(self) -> int:
        """Those tokens, once: for asks that are passed on, or for the new primary."""
        leftover, self.leftover = self.leftover, 0
        return leftover

    def grants_in_full(self, now: float) -> bool:
        """Whether it is the primary, and no former one grants."""
        is_settled = now >= self.since + SETTLE_SECONDS
        return self.position == 0 and (self.succession is Succession.DONE or is_settled)

    def yields(self, now: float) -> bool:
        """Whether this former primary still grants as one, because the new one relies on it."""
        return now < self.yields_until and now - self.relayed_at < YIELD_SECONDS

    def move(self, position: int, now: float) -> None:
        """Changes the position; a primary that loses it grants for `YIELD_SECONDS` more."""
        if self.grants_in_full(now):
            self.yields_until = now + YIELD_SECONDS
            # While asks are passed on, they stay in the bucket.
            self.leftover = 0 if self.yields(now) else int(self.bucket.level_at(now))
        self.position = position
        self.since = now
        self.succession = Succession.UNKNOWN
        self.silent_until = float("-inf")
        if position == 0 and now < self.yields_until:  # no other one has taken its place yet
            self.succession = Succession.DONE
            self.since = now - SETTLE_SECONDS


def name_position(position: int) -> Position:
    """The name of an index in the rendezvous order."""
    return CANDIDATE_POSITIONS[position] if position < CANDIDATES else Position.NONE
