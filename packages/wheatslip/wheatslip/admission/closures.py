"""Why the gate of one backend server is closed.

While at least one reason holds, no request may start. An arrival is refused for the first one
that holds, in the order of `ClosedBy`:

| reason | holds from | until | refused as |
|---|---|---|---|
| zone unknown | the start | the zone drains are known | `zone-emptied` |
| zone drained | an operator drains the server's zone | it is restored | `zone-emptied` |
| server unknown | the start, or an answer of a server that is not the registered one \
| a server registers | `not-ready` |
| server leaves | the server or an operator says so | a server registers, or the stop is taken \
back | `draining` |
| server lost | connections fail several times in a row | it answers | `unreachable` |

Only the methods of the daemon's `Gate` change the reasons.
"""

from dataclasses import dataclass
from enum import StrEnum

from wheatslip.outcome import NotRun, Reason
from wheatslip.retryafter import SERVER_LOST, SERVER_UNKNOWN


class ClosedBy(StrEnum):
    """A reason for which a gate is closed, the one that is named first at the top."""

    # The zone may be drained, so callers get the same answer, byte for byte, as if
    # it were; another zone serves them.
    ZONE_UNKNOWN = "zone-unknown"
    ZONE_DRAINED = "zone-drained"
    SERVER_UNKNOWN = "server-unknown"
    SERVER_LEAVES = "server-leaves"
    SERVER_LOST = "server-lost"

    @property
    def refusal(self) -> NotRun:
        """The refusal of an arrival."""
        return _REFUSALS[self]


_REFUSALS = {
    ClosedBy.ZONE_UNKNOWN: NotRun(Reason.ZONE_EMPTIED),
    ClosedBy.ZONE_DRAINED: NotRun(Reason.ZONE_EMPTIED),
    ClosedBy.SERVER_UNKNOWN: SERVER_UNKNOWN,
    ClosedBy.SERVER_LEAVES: NotRun(Reason.DRAINING),
    ClosedBy.SERVER_LOST: SERVER_LOST,
}


@dataclass(slots=True)
class Closures:
    """The reasons that hold now, in the order of `ClosedBy`; the gate is open if none does."""

    holding: tuple[ClosedBy, ...] = ()

    def add(self, reason: ClosedBy) -> None:
        """The reason holds from now on."""
        self.holding = tuple(r for r in ClosedBy if r is reason or r in self.holding)

    def remove(self, reason: ClosedBy) -> None:
        """The reason does not hold any more, if it did."""
        self.holding = tuple(r for r in self.holding if r is not reason)
