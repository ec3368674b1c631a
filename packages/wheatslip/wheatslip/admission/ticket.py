"""A request at the gate, and the bounds of the gate."""

from dataclasses import dataclass

from wheatslip.call import ANY_WAIT, Call

# Part of the starts that urgent requests may take while others wait. More starves the others,
# less makes urgent ones wait.
DEFAULT_URGENT_SHARE = 0.25


@dataclass(slots=True, eq=False)
class Ticket:
    """One request at the gate. `started` is None while it waits."""

    call: Call
    arrived: float
    started: float | None = None
    # Of the backend server when the request started; None: not known.
    slowness: float | None = 1.0
    max_wait: float = ANY_WAIT  # what it was sent with; see `Admission.arrive`
    late: bool = False  # it will miss its target, so it goes after those that may meet theirs


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Bounds of one gate. `slots` 0 means: find the concurrency limit."""

    slots: int = 0
    queue: int = 64
    urgent_share: float = DEFAULT_URGENT_SHARE
