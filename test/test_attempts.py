"""The tries of a call: no unsafe retry, and no false report that a call did not run."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from wheatslip.attempts import MAX_TRIES, Attempts
from wheatslip.budget import RetryBudget
from wheatslip.call import UNLIMITED, Call, RequestKind
from wheatslip.chooser import Chooser, Upstream
from wheatslip.hop import LoadReport
from wheatslip.outcome import Answered, NotRun, Reason, Unknown
from wheatslipd.gate.idleprobe import ProbeBudget

NAMES = ("a", "b", "c", "d", "e", "f")
OUTCOMES = [
    Answered(200),
    NotRun(Reason.OVERLOADED),
    NotRun(Reason.DRAINING),
    NotRun(Reason.UNREACHABLE),
    Unknown(Reason.CONNECTION_LOST),
    Unknown(Reason.UNACKNOWLEDGED),
]


def make_attempts(repeatable, tokens=3.0):
    call = Call("w", "papers", RequestKind("k", repeatable), deadline=10.0)
    return Attempts(call, Chooser("one", Random(1)), RetryBudget(tokens=tokens))


def make_upstreams(names=NAMES):
    return [Upstream(name, "one") for name in names]


@given(st.lists(st.sampled_from(OUTCOMES), max_size=8), st.booleans())
@settings(max_examples=300, derandomize=True, deadline=None)
def test_any_course_of_tries_is_retried_and_reported_safely(outcomes, repeatable):
    attempts = make_attempts(repeatable)
    upstreams = make_upstreams()
    seen = []
    for outcome in outcomes:
        if attempts.next(upstreams, 0.0) is None:
            break
        attempts.on_bytes_sent()
        seen.append(outcome)
        if not attempts.finish_try(outcome):
            break
    may_have_run = [o for o in seen if not isinstance(o, NotRun)]
    if not repeatable:
        assert len(may_have_run) <= 1
    if may_have_run:
        assert not isinstance(attempts.result(), NotRun)
    assert len(seen) <= MAX_TRIES


class AttemptsMachine(RuleBasedStateMachine):
    """The tries of one call, in any order of events that the forwarder can produce."""

    @initialize(
        repeatable=st.booleans(),
        tokens=st.integers(0, 3),
        attempt_limit=st.integers(1, 3),
    )
    def begin(self, repeatable, tokens, attempt_limit):
        call = Call(
            "w",
            "papers",
            RequestKind("k", repeatable),
            deadline=10.0,
            max_attempts=attempt_limit,
        )
        budget = RetryBudget(tokens=float(tokens))
        self.attempts = Attempts(call, Chooser("one", Random(1)), budget)
        self.upstreams = make_upstreams()
        self.repeatable = repeatable
        self.may_have_run = 0
        self.is_over = False

    def _begin_try(self):
        """Returns false if the call is over, so that no try begins."""
        if self.is_over or self.attempts.next(self.upstreams, 0.0) is None:
            self.is_over = True
        return not self.is_over

    @rule(outcome=st.sampled_from(OUTCOMES), sent=st.booleans())
    def end_try(self, outcome, sent):
        if not self._begin_try():
            return
        if sent or not isinstance(outcome, NotRun):
            self.attempts.on_bytes_sent()
        self.may_have_run += not isinstance(outcome, NotRun)
        self.is_over = not self.attempts.finish_try(outcome)

    @rule(status=st.sampled_from([500, 503]))
    def answer_with_server_error(self, status):
        if not self._begin_try():
            return
        self.attempts.on_bytes_sent()
        self.may_have_run += 1
        if not self.attempts.discard_answer(status):
            self.is_over = not self.attempts.finish_try(Answered(status))

    @rule()
    def pass_deadline_during_try(self):
        if self._begin_try():
            self.attempts.on_bytes_sent()
            self.may_have_run += 1
            assert not isinstance(self.attempts.deadline_outcome(), NotRun)
            self.attempts.finish_try(Unknown(Reason.DEADLINE))
            self.is_over = True

    @invariant()
    def call_that_may_have_run_is_never_reported_as_not_run(self):
        if getattr(self, "may_have_run", 0):
            assert not isinstance(self.attempts.result(), NotRun)
            assert not isinstance(self.attempts.deadline_outcome(), NotRun)

    @invariant()
    def unrepeatable_call_runs_at_most_once(self):
        if hasattr(self, "attempts") and not self.repeatable:
            assert self.may_have_run <= 1


TestAttempts = AttemptsMachine.TestCase
TestAttempts.settings = settings(
    max_examples=300, stateful_step_count=8, derandomize=True, deadline=None
)


def test_unacknowledged_call_is_retried_on_an_empty_budget_only_if_repeatable():
    """The acknowledgement may have been lost, so the call may have run."""
    upstreams = make_upstreams()
    for repeatable in (True, False):
        attempts = make_attempts(repeatable, tokens=0.0)
        attempts.next(upstreams, 0.0)
        attempts.on_bytes_sent()
        assert attempts.finish_try(Unknown(Reason.UNACKNOWLEDGED)) is repeatable
        assert attempts.result() == Unknown(Reason.UNACKNOWLEDGED)


def test_a_call_that_may_have_run_is_never_reported_as_not_run():
    attempts = make_attempts(repeatable=True)
    upstreams = make_upstreams("ab")
    attempts.next(upstreams, 0.0)
    attempts.on_bytes_sent()
    assert attempts.finish_try(Unknown(Reason.CONNECTION_LOST))
    attempts.next(upstreams, 0.0)
    attempts.finish_try(NotRun(Reason.DRAINING))
    assert attempts.result() == Unknown(Reason.CONNECTION_LOST)
    assert attempts.deadline_outcome() == Unknown(Reason.DEADLINE)


def test_a_deadline_before_any_byte_was_sent_is_not_run():
    assert make_attempts(repeatable=False).deadline_outcome() == NotRun(Reason.DEADLINE)


def test_no_retry_on_an_empty_budget():
    attempts = make_attempts(repeatable=True, tokens=0.0)
    attempts.next(make_upstreams(), 0.0)
    assert not attempts.finish_try(Unknown(Reason.CONNECTION_LOST))


def test_a_budget_never_gives_more_than_its_share():
    budget = RetryBudget(share=0.1, tokens=0.0)
    granted = 0
    for _ in range(1000):
        budget.on_request()
        granted += budget.take()
    assert 95 <= granted <= 100


def test_call_is_queued_after_bounces_by_a_busy_pool():
    attempts = make_attempts(repeatable=False)
    upstreams = make_upstreams("ab")
    waits = []
    while (current_try := attempts.next(upstreams, 0.0)) is not None:
        waits.append(current_try.max_wait)
        if current_try.max_wait == UNLIMITED or not attempts.finish_try(
            NotRun(Reason.OVERLOADED)
        ):
            break
    assert waits[-1] == UNLIMITED


@pytest.mark.parametrize("per_second", [0.0, 0.5, 2.0])
def test_probes_never_exceed_their_budget_in_any_window(per_second):
    budget = ProbeBudget(per_second)
    taken = [t / 100 for t in range(3000) if budget.take(t / 100)]
    for start in taken:
        assert sum(start <= t < start + 2.0 for t in taken) <= max(1, 2.0 * per_second)
    assert len(taken) <= 30 * per_second + 1


def make_routed_attempts(repeatable=True, tokens=3.0, max_attempts=2):
    kind = RequestKind("k", repeatable)
    call = Call(
        "w", "papers", kind, 10.0, target=1.0, hold_until=0.25, max_attempts=max_attempts
    )
    return Attempts(call, Chooser("one", Random(1)), RetryBudget(tokens=tokens))


def test_retry_of_a_request_shed_by_its_server_takes_a_budget_token():
    attempts = make_routed_attempts(repeatable=False, tokens=1.0, max_attempts=5)
    upstreams = make_upstreams()
    attempts.next(upstreams, 0.0)
    assert attempts.finish_try(NotRun(Reason.SHED))
    attempts.next(upstreams, 0.0)
    assert not attempts.finish_try(NotRun(Reason.SHED))
    assert attempts.result() == NotRun(Reason.SHED)


def test_refusals_by_gates_take_no_budget_tokens():
    attempts = make_routed_attempts(tokens=0.0)
    upstreams = make_upstreams()
    for _ in range(3):
        assert attempts.next(upstreams, 0.0) is not None
        assert attempts.finish_try(NotRun(Reason.DRAINING))


def test_backend_tries_are_limited_by_max_attempts():
    attempts = make_routed_attempts(tokens=20.0, max_attempts=2)
    upstreams = make_upstreams()
    attempts.next(upstreams, 0.0)
    assert attempts.finish_try(Unknown(Reason.CONNECTION_LOST))
    attempts.next(upstreams, 0.0)
    assert not attempts.finish_try(Unknown(Reason.CONNECTION_LOST))


def test_server_error_is_discarded_only_if_a_retry_is_allowed():
    assert not make_routed_attempts(repeatable=False).discard_answer(500)
    assert not make_routed_attempts(tokens=0.0).discard_answer(500)
    assert not make_routed_attempts().discard_answer(404)
    attempts = make_routed_attempts()
    attempts.next(make_upstreams(), 0.0)
    assert attempts.discard_answer(500)
    # Without another try, the call counts as one that may have run.
    assert attempts.result() == Unknown(Reason.BACKEND_FAILED)


def test_call_refused_after_an_unlimited_wait_is_not_retried():
    attempts = make_routed_attempts(tokens=20.0)
    (only,) = make_upstreams("a")
    assert attempts.next([only], 0.0).max_wait == UNLIMITED
    assert not attempts.finish_try(NotRun(Reason.OVERLOADED))


def test_bounced_call_goes_to_the_upstream_with_the_shortest_wait():
    attempts = make_routed_attempts()
    chooser = attempts.chooser
    slow, full, busy = make_upstreams("abc")
    reports = {
        "a": LoadReport(0, 0, 4, 0.1, 1, slowness=4.0),
        "b": LoadReport(4, 8, 4, 0.1, 1),
        "c": LoadReport(4, 1, 4, 0.1, 1),
    }
    for upstream in (slow, full, busy):
        chooser.on_report(upstream, reports[upstream.name], 0.0)
    assert chooser.pick_shortest_wait([slow, full, busy], 0.0, target=0.3) is busy
