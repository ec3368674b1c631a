"""Answers to requests that are not passed to a handler."""

from dataclasses import dataclass

from wheatslip.outcome import NotRun, Reason
from wheatslip.retryafter import NO_MEMORY

from wheatslipd.http.bounds import Closing

REFUSED_STATUS = 503


@dataclass(frozen=True, slots=True)
class Rejection:
    """The answer, and what is counted; None: nothing."""

    status: int
    outcome: NotRun
    closing: Closing | None = None


MALFORMED = Rejection(400, NotRun(Reason.BAD_REQUEST))
NOT_SUPPORTED = Rejection(501, NotRun(Reason.BAD_REQUEST))
HEAD_TOO_LARGE = Rejection(431, NotRun(Reason.TOO_LARGE), Closing.LARGE_HEAD)
BODY_TOO_LARGE = Rejection(413, NotRun(Reason.TOO_LARGE), Closing.LARGE_BODY)
HEAD_TOO_SLOW = Rejection(408, NotRun(Reason.TOO_SLOW), Closing.SLOW_HEAD)
BODY_TOO_SLOW = Rejection(408, NotRun(Reason.TOO_SLOW), Closing.SLOW_BODY)
NO_MEMORY_LEFT = Rejection(REFUSED_STATUS, NO_MEMORY, Closing.MEMORY)
# Another daemon sends it to another server then.
CROWDED_OUT = Rejection(REFUSED_STATUS, NO_MEMORY, Closing.CROWDED_OUT)
