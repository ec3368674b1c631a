"""The tries of one call: where to send it, whether to retry it, and which outcome to report.

Decision code without I/O, called by the daemon's forwarder. It guarantees that a call that may
have run is retried only if its kind is repeatable, and that a call with any try that may have
run is never reported as not run.

Retries: the first matching row applies. "Requires" is the condition for a retry.

| outcome of the try                      | kind       | a retry requires | may have run |
| --------------------------------------- | ---------- | ---------------- | ------------ |
| answer with a status of 500 or more,    | repeatable | backend try      | yes          |
| no part of it sent to the caller yet    |            |                  |              |
| answer                                  | any        | never retried    | yes          |
| not run, a reason not in `RETRYABLE`    | any        | never retried    | no           |
| not run, shed by the server itself      | any        | backend try      | no           |
| not run, overloaded: a bounce           | any        | nothing          | no           |
| not run, overloaded, finite `hold_until`| any        | never retried    | no           |
| not run, overloaded, any wait allowed   | any        | budget           | no           |
| not run, any other reason               | any        | nothing          | no           |
| unknown, unacknowledged                 | repeatable | nothing          | yes          |
| unknown, any other reason               | repeatable | backend try      | yes          |
| unknown                                 | run once   | never retried    | yes          |

- "Budget": a token of the retry budget, which the retry consumes. "Backend try": the same, and
  fewer than `Call.max_attempts` tries have reached a backend server.
- Every retry also requires that the request can still be sent in full (`can_resend`), that
  fewer than `MAX_TRIES` tries were made and that an upstream is left. A call that its key
  limits to one execution has one try. The forwarder does not retry after it has sent a part of
  an answer to the caller.
- An answer of the first row that is not retried goes to the caller.
- A bounce is a refusal by a gate where the call would wait longer than the try's `max_wait`.

The reported outcome is that of the last try. If the last try did not run but an earlier one may
have run, it is the outcome of the latest try that may have run. If the deadline passes during a
try, the outcome is unknown if any try so far may have run, and not run otherwise.
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

# Per call. `Call.max_attempts` does not count tries that no backend server receives, since they
# cost only messages.
MAX_TRIES = 6
SERVER_ERROR = 500  # lowest HTTP status that is a failure of the backend server


@dataclass(frozen=True, slots=True)
class Try:
    """One try. The upstream's gate refuses the call at once if it would wait there for longer
    than `max_wait` seconds.
    """

    upstream: Upstream
    max_wait: float


@dataclass(frozen=True, slots=True)
class AnswerDiscarded(Unknown):
    """Outcome of a try whose answer had begun and was discarded in favour of a retry.
    `Attempts.discard_answer` has already counted the try.
    """


ANSWER_DISCARDED = AnswerDiscarded(Reason.BACKEND_FAILED)


@dataclass(slots=True)
class Attempts:
    """The tries of one call so far."""

    call: Call
    chooser: Chooser
    budget: Budget
    tries: int = 0
    backend_tries: int = 0  # tries that reached, or may have reached, a backend server
    last: Outcome = NO_SERVER
    can_resend: bool = True  # whether the body is buffered or was not read yet
    _tried: set[str] = field(default_factory=set)
    _bounced: set[str] = field(default_factory=set)
    _current_try: Try | None = None
    _current_may_have_run: bool = False
    _may_have_run: Unknown | None = None  # outcome of the latest try that may have run

    def __post_init__(self) -> None:
        self.budget.on_request()

    def next(self, upstreams: Sequence[Upstream], now: float) -> Try | None:
        """The next try; None if the call has no tries or no upstreams left."""
        if self.tries >= MAX_TRIES:
            return None
        self._current_try = self._choose_try(upstreams, now)
        if self._current_try is not None:
            self.tries += 1
            self._tried.add(self._current_try.upstream.name)
        return self._current_try

    def on_bytes_sent(self) -> None:
        """Records that the current try may run from now on."""
        self._current_may_have_run = True

    def finish_try(self, outcome: Outcome) -> bool:
        """Records the outcome of the current try. Returns whether to retry the call; the retry
        has then been charged to the budget.
        """
        self.last = outcome
        self._current_may_have_run = False
        match outcome:
            case Answered():
                self.backend_tries += 1
                return False
            case NotRun():
                return self._retry_after_refusal(outcome)
            case Unknown():
                return self._retry_after_unknown(outcome)

    def discard_answer(self, status: int) -> bool:
        """Decides whether to discard an answer with `status` that has begun and retry the call.

        If true, the current try has ended and the retry has been charged to the budget.
        """
        if status < SERVER_ERROR or not self.call.kind.repeatable:
            return False
        if not self._take_token_for_backend_try(self.backend_tries + 1):
            return False
        self.backend_tries += 1
        self._current_may_have_run = False
        self._may_have_run = Unknown(Reason.BACKEND_FAILED)
        return True

    def result(self) -> Outcome:
        """The outcome to report after the last try."""
        if isinstance(self.last, NotRun) and self._may_have_run is not None:
            return self._may_have_run
        return self.last

    def deadline_outcome(self) -> Outcome:
        """The outcome to report when the deadline passes during a try."""
        has_run = isinstance(self.last, Answered)
        if has_run or self._current_may_have_run or self._may_have_run is not None:
            return Unknown(Reason.DEADLINE)
        return NotRun(Reason.DEADLINE)

    def _choose_try(self, upstreams: Sequence[Upstream], now: float) -> Try | None:
        if self.call.is_at_most_once:
            key_owner = self._key_owner(upstreams)
            return Try(key_owner, UNLIMITED) if key_owner else None
        upstream = self.chooser.pick(upstreams, now, self._tried)
        if upstream is None:
            # All were tried: queue at the best of those that only bounced the call.
            bounced_upstreams = [u for u in upstreams if u.name in self._bounced]
            upstream = self.chooser.pick_shortest_wait(bounced_upstreams, now, self.call.target)
            return Try(upstream, UNLIMITED) if upstream else None
        return Try(upstream, self._max_wait_at(upstream, upstreams, now))

    def _max_wait_at(
        self, upstream: Upstream, upstreams: Sequence[Upstream], now: float
    ) -> float:
        """Longest wait, in seconds, at the gate of `upstream`.

        A bounce puts no load on the backend server, but after `max_bounces` of them the call
        queues at the upstream it is sent to.
        """
        settings = self.chooser.settings
        if len(self._bounced) >= settings.max_bounces:
            return UNLIMITED
        tried_names = self._tried | {upstream.name}
        if self._bounced or self.chooser.has_untried(upstreams, now, tried_names):
            return settings.bounce_wait
        return UNLIMITED

    def _retry_after_refusal(self, refusal: NotRun) -> bool:
        if not (refusal.is_retryable and self.can_resend):
            return False
        if refusal.reason is Reason.SHED:
            self.backend_tries += 1
            return self._take_token_for_backend_try(self.backend_tries)
        if refusal.reason is Reason.OVERLOADED:
            return self._retry_after_overload()
        return True

    def _retry_after_overload(self) -> bool:
        assert self._current_try is not None
        if self._current_try.max_wait < UNLIMITED:
            self._bounced.add(self._current_try.upstream.name)
            return True
        if self.call.hold_until < UNLIMITED:
            return False  # the call has already waited until `hold_until`
        return self.budget.take()

    def _retry_after_unknown(self, outcome: Unknown) -> bool:
        self._may_have_run = outcome
        if outcome.reason is Reason.UNACKNOWLEDGED:
            # The retry is not charged to the budget, which limits the load on backend servers:
            # the machine is lost. Each entry detects the loss on its own, and in a large fleet
            # an entry's share of the budget is below one token, so most calls would fail.
            return self.call.kind.repeatable and self.can_resend
        self.backend_tries += 1
        return self.call.kind.repeatable and self._take_token_for_backend_try(
            self.backend_tries
        )

    def _take_token_for_backend_try(self, backend_tries: int) -> bool:
        """Takes a budget token for a retry after `backend_tries` tries at backend servers.

        Returns false and takes nothing if the call may not be retried.
        """
        if not self.can_resend or backend_tries >= self.call.max_attempts:
            return False
        return self.budget.take()

    def _key_owner(self, upstreams: Sequence[Upstream]) -> Upstream | None:
        """The owner of the call's key, the only upstream for a call that the key limits to
        one execution; None after the first try.
        """
        if self.tries:
            return None
        name = owner(self.call.qualified_key, [upstream.name for upstream in upstreams])
        return next((u for u in upstreams if u.name == name), None)
