"""The tries of one call: where to send it, whether again, and what to say in the end.

Pure decision code, run by the daemon's forwarder. It holds the two promises of retrying: what
may have run is never sent again unless the call may be repeated, and a call of which any try
may have run is never reported as not run.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from wheatslip.budget import Budget
from wheatslip.call import Call
from wheatslip.chooser import Chooser, Upstream
from wheatslip.outcome import TURNED_AWAY, Answered, NotRun, Outcome, Reason, Unknown
from wheatslip.owners import owner
from wheatslip.retryafter import NO_SERVER

MAX_TRIES = 6
ANY_WAIT = float("inf")
SERVER_ERROR = 500  # statuses from here on are failures of the backend server


@dataclass(frozen=True, slots=True)
class Try:
    """One try. An upstream where the call would wait longer than `max_wait` seconds refuses
    it at once instead, as others are left to try.
    """

    upstream: Upstream
    max_wait: float


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
    _doubt: Unknown | None = None
    _in_doubt_now: bool = False

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
        self._in_doubt_now = True

    def ended(self, outcome: Outcome) -> bool:
        """The present try ended; whether there should be another."""
        self.last = outcome
        self._in_doubt_now = False
        match outcome:
            case Answered():
                self.arrivals += 1
                return False
            case NotRun():
                return self._again_elsewhere(outcome)
            case Unknown(Reason.UNACKNOWLEDGED):
                self._doubt = outcome
                # It met a machine that is gone, so it takes nothing of the budget, which bounds
                # what backend servers get. Each entry meets each lost machine by itself: in a
                # fleet of hundreds, with parts of the budget below one send, most would end.
                return self.call.kind.repeatable and self.can_resend
            case Unknown():
                self.arrivals += 1
                self._doubt = outcome
        return self.call.kind.repeatable and self._may_arrive_again()

    def may_replace(self, status: int) -> bool:
        """Whether an answer with `status` that has begun should give way to another try.

        Counts the answer's try as ended if so, and pays for the next.
        """
        if status < SERVER_ERROR or not self.call.kind.repeatable:
            return False
        self.arrivals += 1
        if self._may_arrive_again():
            self._in_doubt_now = False
            self._doubt = Unknown(Reason.BACKEND_FAILED)
            return True
        self.arrivals -= 1
        return False

    def result(self) -> Outcome:
        """What to tell the caller after the last try."""
        if isinstance(self.last, NotRun) and self._doubt is not None:
            return self._doubt
        return self.last

    def expired(self) -> Outcome:
        """What to tell the caller when the deadline passes during a try."""
        has_run = isinstance(self.last, Answered)
        if has_run or self._in_doubt_now or self._doubt is not None:
            return Unknown(Reason.DEADLINE)
        return NotRun(Reason.DEADLINE)

    def _choose(self, upstreams: Sequence[Upstream], now: float) -> Try | None:
        if self.call.runs_once_by_key:
            owning = self._key_owner(upstreams)
            return Try(owning, ANY_WAIT) if owning else None
        chosen = self.chooser.pick(upstreams, now, self._tried)
        if chosen is None:
            # All were tried: queue at the best of those that were only too busy.
            busy = [u for u in upstreams if u.name in self._bounced]
            chosen = self.chooser.soonest(busy, now, self.call.target)
            return Try(chosen, ANY_WAIT) if chosen else None
        left = self._tried | {chosen.name}
        # A refusal costs the backend server nothing; after some the call queues where it is.
        may_bounce = len(self._bounced) < self.chooser.settings.max_bounces
        if may_bounce and (self._bounced or self.chooser.has_choice(upstreams, now, left)):
            return Try(chosen, self.chooser.settings.bounce_wait)
        return Try(chosen, ANY_WAIT)

    def _again_elsewhere(self, refusal: NotRun) -> bool:
        """Whether to go on after a refusal; a refused wait in line costs the budget."""
        assert self._present is not None
        if not (refusal.retryable and self.can_resend):
            return False
        if refusal.reason in TURNED_AWAY:
            self.arrivals += 1
            return self._may_arrive_again()
        if refusal.reason is not Reason.OVERLOADED:
            return True
        if self._present.max_wait < ANY_WAIT:
            self._bounced.add(self._present.upstream.name)
            return True
        if self.call.hold_until < ANY_WAIT:
            return False  # it has waited as long as it may
        return self.budget.take()

    def _may_arrive_again(self) -> bool:
        """Whether one more try may reach a backend server; it is paid for if so."""
        if not self.can_resend or self.arrivals >= self.call.max_attempts:
            return False
        return self.budget.take()

    def _key_owner(self, upstreams: Sequence[Upstream]) -> Upstream | None:
        """A call bound by its key goes to the key's owner, and nowhere else."""
        if self.tries:
            return None
        name = owner(self.call.owned_key, [upstream.name for upstream in upstreams])
        return next((u for u in upstreams if u.name == name), None)
