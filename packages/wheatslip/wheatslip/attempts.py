"""The tries of one call: where to send it, whether to send it again, what to report in the end.

Pure decision code, run by the daemon's forwarder. It keeps two promises: a call that may have
run is sent again only if its kind is repeatable, and a call of which any try may have run is
never reported as not run.

Whether again. The first row that fits decides; "pays" says what another try needs:

| the try ended in                        | kind       | pays            | may have run |
| --------------------------------------- | ---------- | --------------- | ------------ |
| an answer with a status from 500 on,    | repeatable | an arrival      | yes          |
| none of it sent to the caller yet       |            |                 |              |
| an answer                               | any        | no other try    | it has       |
| not run, a reason not in `RETRYABLE`    | any        | no other try    | no           |
| not run, shed by the server itself      | any        | an arrival      | no           |
| not run, overloaded: a bounce           | any        | nothing         | no           |
| not run, overloaded, `hold_until` bound | any        | no other try    | no           |
| not run, overloaded, any wait allowed   | any        | budget          | no           |
| not run, any other reason               | any        | nothing         | no           |
| unknown, unacknowledged                 | repeatable | nothing         | yes          |
| unknown, any other reason               | repeatable | an arrival      | yes          |
| unknown                                 | run once   | no other try    | yes          |

- "Budget": the retry budget has a token, which is taken. "An arrival": the same, and fewer than
  `Call.max_attempts` tries have reached a backend server.
- Always: the request can still be sent whole (`can_resend`), fewer than `MAX_TRIES` tries were
  made, and an upstream is left. A call bound by its key has one try. The forwarder makes no
  other try once a part of an answer went to the caller.
- Where the answer of the first row gets no other try, it goes to the caller.
- A bounce is the refusal of a gate where the call would wait longer than the try's `max_wait`.

What is reported: the outcome of the last try. If the last try was not run but an earlier one
may have run, it is the outcome of the latest try that may have run. If the deadline passes
during a try, it is unknown if any try so far may have run, else not run.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from wheatslip.budget import Budget
from wheatslip.call import UNLIMITED, Call
from wheatslip.chooser import Chooser
from wheatslip.outcome import Answered, NotRun, Outcome, Reason, Unknown
from wheatslip.owners import owner
from wheatslip.retryafter import NO_SERVER
from wheatslip.upstream import Upstream

# Tries of a call in all, also those that no backend server saw, which cost messages only and
# which `Call.max_attempts` does not count.
MAX_TRIES = 6
SERVER_ERROR = 500  # HTTP statuses from here on are failures of the backend server


@dataclass(frozen=True, slots=True)
class Try:
    """One try. The gate of an upstream where the call would wait longer than `max_wait`
    seconds refuses it at once, as others are left to try.
    """

    upstream: Upstream
    max_wait: float


@dataclass(frozen=True, slots=True)
class Replaced(Unknown):
    """The end of a try whose answer had begun and gave way to another try; see
    `Attempts.replace_answer`, which has counted it.
    """


REPLACED = Replaced(Reason.BACKEND_FAILED)


@dataclass(slots=True)
class Attempts:
    """The tries of one call so far."""

    call: Call
    chooser: Chooser
    budget: Budget
    tries: int = 0
    arrivals: int = 0  # tries that reached, or may have reached, a backend server
    last: Outcome = NO_SERVER
    # Whether the request can still be sent whole: its body is kept or was not touched.
    can_resend: bool = True
    _tried: set[str] = field(default_factory=set)
    _bounced: set[str] = field(default_factory=set)
    _present: Try | None = None
    _present_may_have_run: bool = False
    _may_have_run: Unknown | None = None  # the latest outcome of a try that may have run

    def __post_init__(self) -> None:
        self.budget.on_request()

    def next(self, upstreams: Sequence[Upstream], now: float) -> Try | None:
        """Where to send the call now; None if there is nowhere left."""
        if self.tries >= MAX_TRIES:
            return None
        self._present = self._choose(upstreams, now)
        if self._present is not None:
            self.tries += 1
            self._tried.add(self._present.upstream.name)
        return self._present

    def on_bytes_sent(self) -> None:
        """From here on the present try may run."""
        self._present_may_have_run = True

    def ended(self, outcome: Outcome) -> bool:
        """The present try ended; whether there should be another, which is paid for then."""
        self.last = outcome
        self._present_may_have_run = False
        match outcome:
            case Answered():
                self.arrivals += 1
                return False
            case NotRun():
                return self._again_after_refusal(outcome)
            case Unknown():
                return self._again_after_unknown(outcome)

    def replace_answer(self, status: int) -> bool:
        """Give up an answer with `status` that has begun for another try, if one may be made.

        If so the answer's try has ended, and the next one is paid for.
        """
        if status < SERVER_ERROR or not self.call.kind.repeatable:
            return False
        if not self._pay_for_arrival(self.arrivals + 1):
            return False
        self.arrivals += 1
        self._present_may_have_run = False
        self._may_have_run = Unknown(Reason.BACKEND_FAILED)
        return True

    def result(self) -> Outcome:
        """What to report to the caller after the last try."""
        if isinstance(self.last, NotRun) and self._may_have_run is not None:
            return self._may_have_run
        return self.last

    def expired(self) -> Outcome:
        """What to report to the caller when the deadline passes during a try."""
        has_run = isinstance(self.last, Answered)
        if has_run or self._present_may_have_run or self._may_have_run is not None:
            return Unknown(Reason.DEADLINE)
        return NotRun(Reason.DEADLINE)

    def _choose(self, upstreams: Sequence[Upstream], now: float) -> Try | None:
        if self.call.is_at_most_once:
            owning = self._key_owner(upstreams)
            return Try(owning, UNLIMITED) if owning else None
        chosen = self.chooser.pick(upstreams, now, self._tried)
        if chosen is None:
            # All were tried: queue at the best of those that were only too busy.
            busy = [u for u in upstreams if u.name in self._bounced]
            chosen = self.chooser.soonest(busy, now, self.call.target)
            return Try(chosen, UNLIMITED) if chosen else None
        return Try(chosen, self._max_wait_at(chosen, upstreams, now))

    def _max_wait_at(
        self, chosen: Upstream, upstreams: Sequence[Upstream], now: float
    ) -> float:
        """Seconds that the call may wait at the gate of `chosen`.

        A bounce costs the backend server nothing, but after some the call waits where it is.
        """
        settings = self.chooser.settings
        if len(self._bounced) >= settings.max_bounces:
            return UNLIMITED
        left = self._tried | {chosen.name}
        if self._bounced or self.chooser.has_choice(upstreams, now, left):
            return settings.bounce_wait
        return UNLIMITED

    def _again_after_refusal(self, refusal: NotRun) -> bool:
        if not (refusal.is_retryable and self.can_resend):
            return False
        if refusal.reason is Reason.SHED:
            self.arrivals += 1
            return self._pay_for_arrival(self.arrivals)
        if refusal.reason is Reason.OVERLOADED:
            return self._again_after_overload()
        return True

    def _again_after_overload(self) -> bool:
        assert self._present is not None
        if self._present.max_wait < UNLIMITED:
            self._bounced.add(self._present.upstream.name)
            return True
        if self.call.hold_until < UNLIMITED:
            return False  # it has waited as long as it may
        return self.budget.take()

    def _again_after_unknown(self, outcome: Unknown) -> bool:
        self._may_have_run = outcome
        if outcome.reason is Reason.UNACKNOWLEDGED:
            # It met a machine that is gone, so it takes nothing of the budget, which bounds
            # what backend servers get. Each entry meets each lost machine by itself: in a
            # fleet of hundreds, with parts of the budget below one send, most would end.
            return self.call.kind.repeatable and self.can_resend
        self.arrivals += 1
        return self.call.kind.repeatable and self._pay_for_arrival(self.arrivals)

    def _pay_for_arrival(self, arrivals: int) -> bool:
        """Pay for one more try that may reach a backend server, after `arrivals` that did.

        False, and nothing is paid, if there may be none.
        """
        if not self.can_resend or arrivals >= self.call.max_attempts:
            return False
        return self.budget.take()

    def _key_owner(self, upstreams: Sequence[Upstream]) -> Upstream | None:
        """A call bound by its key goes to the key's owner, and nowhere else."""
        if self.tries:
            return None
        name = owner(self.call.qualified_key, [upstream.name for upstream in upstreams])
        return next((u for u in upstreams if u.name == name), None)
