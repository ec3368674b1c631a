"""The tries of a call: what may have run is not sent again, nor reported as not run."""

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


def attempts(repeatable, tokens=3.0):
    call = Call("w", "papers", RequestKind("k", repeatable), deadline=10.0)
    return Attempts(call, Chooser("one", Random(1)), RetryBudget(tokens=tokens))


def upstreams(names=NAMES):
    return [Upstream(name, "one") for name in names]


@given(st.lists(st.sampled_from(OUTCOMES), max_size=8), st.booleans())
@settings(max_examples=300, derandomize=True, deadline=None)
def test_any_course_of_tries_keeps_the_promises(outcomes, repeatable):
    tries = attempts(repeatable)
    group = upstreams()
    seen = []
    for outcome in outcomes:
        if tries.next(group, 0.0) is None:
            break
        tries.on_bytes_sent()
        seen.append(outcome)
        if not tries.finish_try(outcome):
            break
    may_have_run = [o for o in seen if not isinstance(o, NotRun)]
    if not repeatable:
        assert len(may_have_run) <= 1
    if may_have_run:
        assert not isinstance(tries.result(), NotRun)
    assert len(seen) <= MAX_TRIES


class TriesMachine(RuleBasedStateMachine):
    """The tries of one call, in any course that the forwarder can take them."""

    @initialize(
        repeatable=st.booleans(),
        tokens=st.integers(0, 3),
        most=st.integers(1, 3),
    )
    def begin(self, repeatable, tokens, most):
        call = Call(
            "w",
            "papers",
            RequestKind("k", repeatable),
            deadline=10.0,
            max_attempts=most,
        )
        budget = RetryBudget(tokens=float(tokens))
        self.tries = Attempts(call, Chooser("one", Random(1)), budget)
        self.group = upstreams()
        self.repeatable = repeatable
        self.may_have_run = 0
        self.is_over = False

    def _next(self):
        """Begin a try, if there is to be one."""
        if self.is_over or self.tries.next(self.group, 0.0) is None:
            self.is_over = True
        return not self.is_over

    @rule(outcome=st.sampled_from(OUTCOMES), sent=st.booleans())
    def a_try_ends(self, outcome, sent):
        if not self._next():
            return
        if sent or not isinstance(outcome, NotRun):
            self.tries.on_bytes_sent()
        self.may_have_run += not isinstance(outcome, NotRun)
        self.is_over = not self.tries.finish_try(outcome)

    @rule(status=st.sampled_from([500, 503]))
    def a_server_that_ran_it_answers_badly(self, status):
        if not self._next():
            return
        self.tries.on_bytes_sent()
        self.may_have_run += 1
        if not self.tries.discard_answer(status):
            self.is_over = not self.tries.finish_try(Answered(status))

    @rule()
    def time_runs_out_during_a_try(self):
        if self._next():
            self.tries.on_bytes_sent()
            self.may_have_run += 1
            assert not isinstance(self.tries.deadline_outcome(), NotRun)
            self.tries.finish_try(Unknown(Reason.DEADLINE))
            self.is_over = True

    @invariant()
    def what_may_have_run_is_never_said_not_to_have(self):
        if getattr(self, "may_have_run", 0):
            assert not isinstance(self.tries.result(), NotRun)
            assert not isinstance(self.tries.deadline_outcome(), NotRun)

    @invariant()
    def what_may_not_be_repeated_is_not(self):
        if hasattr(self, "tries") and not self.repeatable:
            assert self.may_have_run <= 1


TestTries = TriesMachine.TestCase
TestTries.settings = settings(
    max_examples=300, stateful_step_count=8, derandomize=True, deadline=None
)


def test_what_a_lost_machine_did_not_take_is_sent_elsewhere_though_the_budget_is_empty():
    """Only if it may be repeated: an acknowledgement may have been lost, too."""
    group = upstreams()
    for repeatable in (True, False):
        tries = attempts(repeatable, tokens=0.0)
        tries.next(group, 0.0)
        tries.on_bytes_sent()
        assert tries.finish_try(Unknown(Reason.UNACKNOWLEDGED)) is repeatable
        assert tries.result() == Unknown(Reason.UNACKNOWLEDGED)


def test_a_call_that_may_have_run_is_never_called_not_run():
    tries = attempts(repeatable=True)
    group = upstreams("ab")
    tries.next(group, 0.0)
    tries.on_bytes_sent()
    assert tries.finish_try(Unknown(Reason.CONNECTION_LOST))
    tries.next(group, 0.0)
    tries.finish_try(NotRun(Reason.DRAINING))
    assert tries.result() == Unknown(Reason.CONNECTION_LOST)
    assert tries.deadline_outcome() == Unknown(Reason.DEADLINE)


def test_a_deadline_before_any_byte_was_sent_is_not_run():
    assert attempts(repeatable=False).deadline_outcome() == NotRun(Reason.DEADLINE)


def test_retries_end_with_the_budget():
    tries = attempts(repeatable=True, tokens=0.0)
    tries.next(upstreams(), 0.0)
    assert not tries.finish_try(Unknown(Reason.CONNECTION_LOST))


def test_a_budget_never_gives_more_than_its_share():
    budget = RetryBudget(share=0.1, tokens=0.0)
    granted = 0
    for _ in range(1000):
        budget.on_request()
        granted += budget.take()
    assert 95 <= granted <= 100


def test_a_busy_pool_queues_the_call_somewhere_in_the_end():
    tries = attempts(repeatable=False)
    group = upstreams("ab")
    waits = []
    while (one := tries.next(group, 0.0)) is not None:
        waits.append(one.max_wait)
        if one.max_wait == UNLIMITED or not tries.finish_try(NotRun(Reason.OVERLOADED)):
            break
    assert waits[-1] == UNLIMITED


@pytest.mark.parametrize("per_second", [0.0, 0.5, 2.0])
def test_measuring_never_exceeds_its_budget_in_any_window(per_second):
    budget = ProbeBudget(per_second)
    taken = [t / 100 for t in range(3000) if budget.take(t / 100)]
    for start in taken:
        assert sum(start <= t < start + 2.0 for t in taken) <= max(1, 2.0 * per_second)
    assert len(taken) <= 30 * per_second + 1


def routed(repeatable=True, tokens=3.0, max_attempts=2):
    kind = RequestKind("k", repeatable)
    call = Call(
        "w", "papers", kind, 10.0, target=1.0, hold_until=0.25, max_attempts=max_attempts
    )
    return Attempts(call, Chooser("one", Random(1)), RetryBudget(tokens=tokens))


def test_a_request_turned_away_by_its_server_pays_for_the_next_one():
    tries = routed(repeatable=False, tokens=1.0, max_attempts=5)
    group = upstreams()
    tries.next(group, 0.0)
    assert tries.finish_try(NotRun(Reason.SHED))
    tries.next(group, 0.0)
    assert not tries.finish_try(NotRun(Reason.SHED))
    assert tries.result() == NotRun(Reason.SHED)


def test_a_gates_refusal_costs_nothing_however_often():
    tries = routed(tokens=0.0)
    group = upstreams()
    for _ in range(3):
        assert tries.next(group, 0.0) is not None
        assert tries.finish_try(NotRun(Reason.DRAINING))


def test_no_more_servers_are_reached_than_the_route_allows():
    tries = routed(tokens=20.0, max_attempts=2)
    group = upstreams()
    tries.next(group, 0.0)
    assert tries.finish_try(Unknown(Reason.CONNECTION_LOST))
    tries.next(group, 0.0)
    assert not tries.finish_try(Unknown(Reason.CONNECTION_LOST))


def test_a_servers_failure_is_replaced_only_if_the_call_may_run_again():
    assert not routed(repeatable=False).discard_answer(500)
    assert not routed(tokens=0.0).discard_answer(500)
    assert not routed().discard_answer(404)
    tries = routed()
    tries.next(upstreams(), 0.0)
    assert tries.discard_answer(500)
    # Were it all that was had, it may have run.
    assert tries.result() == Unknown(Reason.BACKEND_FAILED)


def test_a_call_held_as_long_as_it_may_is_not_tried_again():
    tries = routed(tokens=20.0)
    (only,) = upstreams("a")
    assert tries.next([only], 0.0).max_wait == UNLIMITED
    assert not tries.finish_try(NotRun(Reason.OVERLOADED))


def test_after_its_bounces_a_call_goes_where_it_waits_least():
    tries = routed()
    chooser = tries.chooser
    slow, full, busy = upstreams("abc")
    reports = {
        "a": LoadReport(0, 0, 4, 0.1, 1, slowness=4.0),
        "b": LoadReport(4, 8, 4, 0.1, 1),
        "c": LoadReport(4, 1, 4, 0.1, 1),
    }
    for upstream in (slow, full, busy):
        chooser.on_report(upstream, reports[upstream.name], 0.0)
    assert chooser.pick_shortest_wait([slow, full, busy], 0.0, target=0.3) is busy
