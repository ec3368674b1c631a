"""Admission and its queue: limits, fairness between workspaces, and no lost requests."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from wheatslip.admission import Admission, AdmissionSettings, ClosedBy, Ticket
from wheatslip.call import Call, CallClass, RequestKind
from wheatslip.fairqueue import FairQueue
from wheatslip.outcome import NotRun, Reason

READ = RequestKind("read", repeatable=True)
URGENT = RequestKind("urgent", repeatable=True, call_class=CallClass.URGENT)


def make_call(workspace="alpha", deadline=1000.0, kind=READ):
    return Call(workspace, "papers", kind, deadline)


class AdmissionMachine(RuleBasedStateMachine):
    """Random arrivals, completions, withdrawals and drains at one gate."""

    def __init__(self):
        super().__init__()
        self.admission = Admission(AdmissionSettings(slots=3, queue=4))
        self.now = 0.0
        self.open_tickets = []
        self.arrived_count = self.refused_count = self.ended_count = 0

    @rule(
        workspace=st.sampled_from("abc"),
        urgent=st.booleans(),
        time_left=st.sampled_from([50.0, 50.0, 1.0, 0.0005]),
        max_wait=st.sampled_from([float("inf"), float("inf"), 0.0]),
    )
    def arrive(self, workspace, urgent, time_left, max_wait):
        self.arrived_count += 1
        kind = URGENT if urgent else READ
        call = make_call(workspace, self.now + time_left, kind)
        ticket = self.admission.arrive(call, self.now, max_wait)
        if isinstance(ticket, NotRun):
            self.refused_count += 1
        else:
            self.open_tickets.append(ticket)
        self._drop_evicted()

    @rule(workspace=st.sampled_from("abc"), count=st.integers(2, 8))
    def arrive_many(self, workspace, count):
        for _ in range(count):
            self.arrive(workspace, False, 50.0, float("inf"))

    @rule(index=st.integers(0, 20), service_time=st.floats(0.0, 0.5))
    def finish_call(self, index, service_time):
        started = [t for t in self.open_tickets if t.started is not None]
        if started:
            self.now += service_time
            ticket = started[index % len(started)]
            self.admission.finish(ticket, self.now, worked=True)
            self.open_tickets.remove(ticket)
            self.ended_count += 1

    @rule(index=st.integers(0, 20))
    def withdraw(self, index):
        waiting = [t for t in self.open_tickets if t.started is None]
        if waiting:
            ticket = waiting[index % len(waiting)]
            assert self.admission.withdraw(ticket)
            self.open_tickets.remove(ticket)
            self.ended_count += 1

    @rule()
    def drain(self):
        self.admission.closures.add(ClosedBy.SERVER_LEAVES)
        assert self.admission.arrive(make_call(), self.now) == NotRun(Reason.DRAINING)
        # Reopens the gate for the rules that follow.
        self.admission.closures.remove(ClosedBy.SERVER_LEAVES)

    def _drop_evicted(self):
        for ticket in self.admission.take_evicted():
            self.open_tickets.remove(ticket)
            self.refused_count += 1

    @invariant()
    def limits_are_never_exceeded(self):
        assert self.admission.in_flight <= 3
        assert self.admission.queued <= 4

    @invariant()
    def every_request_is_counted(self):
        assert self.arrived_count == self.refused_count + self.ended_count + len(
            self.open_tickets
        )
        assert len(self.open_tickets) == self.admission.in_flight + self.admission.queued

    @invariant()
    def no_request_waits_while_a_slot_is_free(self):
        if self.admission.queued:
            assert self.admission.in_flight == 3


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(max_examples=150, derandomize=True, deadline=None)


def full_gate(**bounds):
    admission = Admission(AdmissionSettings(slots=1, **bounds))
    running = admission.arrive(make_call(), 0.0)
    assert isinstance(running, Ticket)
    return admission, running


def test_request_that_cannot_meet_its_deadline_is_refused_on_arrival():
    admission, running = full_gate()
    admission.finish(running, 1.0, worked=True)  # service time of 1 s
    admission.arrive(make_call(), 1.0)
    assert isinstance(admission.arrive(make_call(deadline=1.5), 1.0), NotRun)
    assert isinstance(admission.arrive(make_call(deadline=9.0), 1.0), Ticket)


def test_stalled_server_raises_service_time_before_its_first_answer():
    admission, _ = full_gate()
    assert admission.timing.current_service_time(0.005) == admission.limit.service_time
    assert admission.timing.current_service_time(0.5) == 0.5


def test_full_queue_evicts_a_request_of_the_workspace_with_most_waiting():
    admission, _ = full_gate(queue=3)
    greedy = [admission.arrive(make_call("greedy", 100.0 + i), 0.0) for i in range(3)]
    modest = admission.arrive(make_call("modest"), 0.0)
    assert isinstance(modest, Ticket)
    assert admission.take_evicted() == [greedy[2]]


def test_starts_are_divided_by_workspace_share():
    queue = FairQueue(urgent_share=0.25)
    queue.shares = {"heavy": 3.0, "light": 1.0}
    for number in range(400):
        queue.push("heavy", number, "heavy")
        queue.push("light", number, "light")
    first = [queue.pop() for _ in range(200)]
    assert first.count("heavy") == 150


def test_workspace_with_an_empty_queue_gains_no_advantage():
    queue = FairQueue(urgent_share=0.25)
    queue.push("a", 1.0, "a")
    assert queue.pop() == "a"
    queue.push("a", 1.0, "a")
    queue.push("b", 1.0, "b")
    assert queue.pop() == "b"


def test_urgent_items_go_first_up_to_their_share():
    queue = FairQueue(urgent_share=0.25)
    for number in range(400):
        queue.push("a", number, "urgent", urgent=True)
        queue.push("a", number, "normal")
    first = [queue.pop() for _ in range(200)]
    assert first[0] == "urgent"
    assert 45 <= first.count("urgent") <= 55


def test_the_earliest_deadline_goes_first_within_a_workspace():
    queue = FairQueue(urgent_share=0.25)
    for deadline in (3.0, 1.0, 2.0):
        queue.push("a", deadline, deadline)
    assert [queue.pop() for _ in range(3)] == [1.0, 2.0, 3.0]
