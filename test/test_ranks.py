"""Ranks at a gate: the order of starts, expected waits and refusals."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule
from wheatslip.admission import RANKED_URGENT_SHARE, Admission, AdmissionSettings, Ticket
from wheatslip.call import COMMON_RANK, Call, CallClass, Rank, RequestKind
from wheatslip.outcome import NotRun, Reason
from wheatslipd.controllers.view import View
from wheatslipd.gate.gate import Gate

from test.helper import run
from test.test_admission import AdmissionMachine

READ = RequestKind("read", repeatable=True)
URGENT = RequestKind("urgent", repeatable=True, call_class=CallClass.URGENT)
RANKS = tuple(Rank(0, priority) for priority in range(3))
SERVICE_SECONDS = 0.1


def make_call(rank=COMMON_RANK, workspace="alpha", kind=READ, target=100.0, hold=None):
    hold_until = target if hold is None else hold
    return Call(
        workspace, "papers", kind, 1000.0, target=target, hold_until=hold_until, rank=rank
    )


def full_gate(queue=64, has_ranks=True):
    """An admission with one slot, which is in use, and a known service time."""
    share = RANKED_URGENT_SHARE if has_ranks else 0.25
    admission = Admission(AdmissionSettings(1, queue, share, has_ranks))
    first = admission.arrive(make_call(), 0.0)
    admission.finish(first, SERVICE_SECONDS, worked=True)
    running = admission.arrive(make_call(), SERVICE_SECONDS)
    assert running.started is not None
    return admission, running


class RankedAdmissionMachine(AdmissionMachine):
    """The same with ranks: no request is lost or counted twice when others displace it."""

    def __init__(self):
        super().__init__()
        self.admission = Admission(AdmissionSettings(3, 4, RANKED_URGENT_SHARE, has_ranks=True))

    @rule(
        workspace=st.sampled_from("abc"),
        rank=st.sampled_from([COMMON_RANK, Rank(0, 1), Rank(1, 0), Rank(2, 5)]),
        time_left=st.sampled_from([50.0, 1.0, 0.3]),
    )
    def arrive_ranked(self, workspace, rank, time_left):
        self.arrived_count += 1
        call = make_call(rank, workspace, target=self.now + time_left)
        ticket = self.admission.arrive(call, self.now)
        if isinstance(ticket, NotRun):
            self.refused_count += 1
        else:
            self.open_tickets.append(ticket)
        self._drop_evicted()

    def _drop_evicted(self):
        super()._drop_evicted()
        for refused in self.admission.take_displaced():
            self.open_tickets.remove(refused.ticket)
            self.refused_count += 1


TestRankedAdmission = RankedAdmissionMachine.TestCase
TestRankedAdmission.settings = settings(max_examples=150, derandomize=True, deadline=None)


def test_the_backlog_of_a_hot_workspace_is_not_in_the_wait_of_others_of_its_rank():
    admission, _ = full_gate()
    for rank in (COMMON_RANK, Rank(0, 1)):
        for _ in range(10):
            admission.arrive(make_call(rank, "hot"), SERVICE_SECONDS)
    small_wait = admission.expected_wait(make_call(workspace="small"), SERVICE_SECONDS)
    hot_wait = admission.expected_wait(make_call(workspace="hot"), SERVICE_SECONDS)
    assert small_wait <= 2.01 * SERVICE_SECONDS < 11 * SERVICE_SECONDS <= hot_wait


def test_a_full_queue_gives_up_the_last_rank_and_there_the_largest_backlog():
    admission, _ = full_gate(queue=4)
    waiting = {
        name: admission.arrive(make_call(rank, name[0], target=50.0 + i), 0.2)
        for i, (name, rank) in enumerate(
            (("a1", RANKS[1]), ("b1", RANKS[2]), ("c1", RANKS[2]), ("c2", RANKS[2]))
        )
    }
    assert isinstance(admission.arrive(make_call(RANKS[0], "d"), 0.2), Ticket)
    assert [refused.ticket for refused in admission.take_displaced()] == [waiting["c2"]]
    assert admission.take_evicted() == []


def test_a_lower_rank_takes_no_place_from_a_higher_one_however_large_its_backlog():
    admission, _ = full_gate(queue=3)
    for _ in range(3):
        admission.arrive(make_call(RANKS[1], "greedy"), 0.2)
    refusal = admission.arrive(make_call(RANKS[2], "modest"), 0.2)
    assert isinstance(refusal, NotRun) and refusal.reason is Reason.OVERLOADED
    assert admission.take_evicted() == [] and admission.take_displaced() == []
    assert isinstance(admission.arrive(make_call(RANKS[1], "modest"), 0.2), Ticket)
    assert len(admission.take_evicted()) == 1


def test_an_urgent_call_takes_a_place_in_a_full_queue_only_where_calls_have_ranks():
    """Without credentials urgent requests are refused by a full queue, as before."""
    for has_ranks in (True, False):
        admission, _ = full_gate(queue=2, has_ranks=has_ranks)
        for _ in range(2):
            admission.arrive(make_call(), 0.2)
        result = admission.arrive(make_call(kind=URGENT), 0.2)
        assert isinstance(result, Ticket) == has_ranks
        assert len(admission.take_displaced()) == has_ranks


def test_a_waiting_request_that_a_higher_rank_makes_miss_its_target_is_refused_at_once():
    admission, _ = full_gate()
    now = SERVICE_SECONDS
    low = admission.arrive(make_call(RANKS[1], target=now + 0.25), now)
    assert isinstance(low, Ticket)
    admission.arrive(make_call(RANKS[0]), now)
    (refused,) = admission.take_displaced()
    assert refused.ticket is low and refused.refusal.reason is Reason.OVERLOADED
    assert 0.15 < refused.refusal.retry_after < 0.25
    assert admission.queued == 1


def test_a_waiting_request_that_still_meets_its_target_or_has_the_same_rank_stays():
    admission, _ = full_gate()
    now = SERVICE_SECONDS
    for rank, target in ((RANKS[1], 0.45), (RANKS[0], 0.25)):
        admission.arrive(make_call(rank, target=now + target), now)
    admission.arrive(make_call(RANKS[0], target=now + 0.35), now)
    assert admission.take_displaced() == [] and admission.queued == 3


def test_a_gate_ends_the_wait_of_a_displaced_request():
    """Its caller must not wait until the latest start for a refusal that is already decided."""

    async def scenario():
        admission, running = full_gate()
        gate = Gate(admission, View(), lambda: SERVICE_SECONDS)
        call = make_call(RANKS[1], target=SERVICE_SECONDS + 0.25)
        low = asyncio.ensure_future(gate.start_call(call, float("inf")))
        await asyncio.sleep(0)
        high = asyncio.ensure_future(gate.start_call(make_call(), float("inf")))
        outcome = await asyncio.wait_for(low, 0.1)
        assert isinstance(outcome, NotRun) and outcome.reason is Reason.OVERLOADED
        gate.finish_call(running, worked=True)
        assert isinstance(await high, Ticket)

    run(scenario)


def test_late_requests_go_last_within_their_rank_and_workspace_but_before_ranks_behind():
    admission, running = full_gate()
    late = admission.arrive(make_call(RANKS[0], target=0.3, hold=float("inf")), 0.1)
    in_time = admission.arrive(make_call(RANKS[0], target=5.0), 0.1)
    behind = admission.arrive(make_call(RANKS[1], target=5.0), 0.1)
    order = []
    for _ in range(3):
        (running,) = admission.finish(running, 0.25, worked=False)
        order.append(running)
    assert order == [in_time, late, behind] and late.is_late
