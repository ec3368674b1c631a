"""A request at a gate, and the settings of a gate."""

from dataclasses import dataclass

from wheatslip.call import UNLIMITED, Call
from wheatslip.outcome import NotRun

# A larger share starves the other requests, a smaller one makes urgent requests wait.
DEFAULT_URGENT_SHARE = 0.25  # largest part of urgent starts while other requests wait
# The same where calls have ranks: urgent calls are part of requests that run already.
RANKED_URGENT_SHARE = 0.75


@dataclass(slots=True, eq=False)
class Ticket:
    """One request at a gate. Times in seconds, monotonic; `started` is None while it waits."""

    call: Call
    arrived: float
    started: float | None = None
    # Slowness of the backend server when the request started; None if it was not known.
    slowness: float | None = 1.0
    max_wait: float = UNLIMITED  # seconds; see `Admission.arrive`
    is_late: bool = False  # will miss its target, so it starts after all that may meet theirs


@dataclass(frozen=True, slots=True)
class RefusedTicket:
    """A ticket that was waiting, and its refusal."""

    ticket: Ticket
    refusal: NotRun


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of one gate. If `slots` is 0, the concurrency limit is adaptive.

    Short requests may use `short_slots`, all others only `slots`, so that a long request does
    not make the calls of other servers wait (0: all use `slots`).
    With `has_ranks`, the configuration gives calls ranks, and urgent calls go before all ranks
    also when the queue is full.
    """

    slots: int = 0
    queue: int = 64
    urgent_share: float = DEFAULT_URGENT_SHARE
    has_ranks: bool = False
    short_slots: int = 0
