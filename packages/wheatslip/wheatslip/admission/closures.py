"""Reasons for which the gate of one backend server is closed.

While at least one reason is active, no request may start. A new request is refused for the
first active reason in the order of `ClosedBy`:

| reason | active from | until | refused as |
|---|---|---|---|
| zone unknown | startup | the zone drains are known | `zone-emptied` |
| zone drained | an operator drains the server's zone | it is restored | `zone-emptied` |
| server unknown | startup, or a response of a server that is not the registered one \
| a server registers | `not-ready` |
| server leaves | the server or an operator announces its stop | a server registers, or the \
stop is cancelled | `draining` |
| server lost | several connections in a row fail | it responds | `unreachable` |

Only the methods of the daemon's `Gate` change the reasons.
"""

from dataclasses import dataclass
from enum import StrEnum

from wheatslip.outcome import NotRun, Reason
from wheatslip.retryafter import SERVER_LOST, SERVER_UNKNOWN


class ClosedBy(StrEnum):
    """A reason for which a gate is closed, in descending order of precedence."""

    # The zone may be drained, so the refusal is byte for byte the same as for a drained zone,
    # and callers use another zone.
    ZONE_UNKNOWN = "zone-unknown"
    ZONE_DRAINED = "zone-drained"
    SERVER_UNKNOWN = "server-unknown"
    SERVER_LEAVES = "server-leaves"
    SERVER_LOST = "server-lost"

    @property
    def refusal(self) -> NotRun:
        """The refusal that a new request gets."""
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
    """The active reasons in the order of `ClosedBy`; the gate is open if there are none."""

    active: tuple[ClosedBy, ...] = ()

    def add(self, reason: ClosedBy) -> None:
        self.active = tuple(r for r in ClosedBy if r is reason or r in self.active)

    def remove(self, reason: ClosedBy) -> None:
        """Removes a reason if it is active."""
        self.active = tuple(r for r in self.active if r is not reason)
