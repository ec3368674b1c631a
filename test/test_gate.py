"""The gate before slow and unknown servers, and what it may hold for how long."""

import asyncio
import dataclasses

from wheatslip.admission import Admission, AdmissionSettings, ClosedBy, Ticket
from wheatslip.backendload import BackendLoad, decode_backend_load
from wheatslip.call import UNLIMITED, Call, RequestKind
from wheatslip.outcome import NotRun, Reason
from wheatslipd.controllers.view import View
from wheatslipd.gate.gate import Gate

from test.helper import run

LOOKUP = RequestKind("lookup", repeatable=True)
SLOW = BackendLoad(running=1, waiting=0, slots=4, slowness=4.0)
USUAL = dataclasses.replace(SLOW, slowness=1.0)


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def gate(slots=1, is_probed=True):
    clock = Clock()
    admission = Admission(AdmissionSettings(slots=slots))
    return Gate(admission, View(), clock, is_probed=is_probed), clock


def call(target=0.4, hold=0.1, deadline=1.0, kind=LOOKUP):
    return Call("w", "papers", kind, deadline, target=target, hold_until=hold)


def taught(admission, took=0.12):
    """An admission that has seen how long a lookup takes."""
    ticket = admission.arrive(call(), 0.0)
    admission.finish(ticket, took, worked=True)
    return admission


def test_load_is_read_with_and_without_its_fourth_figure():
    assert decode_backend_load(b"3,0,8") == BackendLoad(3, 0, 8)
    assert decode_backend_load(b"3,1,8,400") == BackendLoad(3, 1, 8, 4.0)
    for bad in (b"", b"3,0", b"a,b,c", b"-1,0,8", b"1,1,0"):
        assert decode_backend_load(bad) is None


def test_a_slow_server_refuses_what_would_miss_its_target_while_others_are_left():
    admission = taught(Admission(AdmissionSettings(slots=4)))
    admission.timing.slowness = 4.0
    refusal = admission.arrive(call(), 0.0, max_wait=0.03)
    assert isinstance(refusal, NotRun) and refusal.reason is Reason.OVERLOADED
    assert admission.arrive(call(target=0.6), 0.0, max_wait=0.03).started is not None
    waiting = admission.arrive(call(), 0.0, UNLIMITED)
    assert waiting.started is None and admission.queued == 1


def test_what_waits_out_a_slow_server_starts_when_it_is_fast_again():
    async def scenario():
        one, _ = gate(slots=4)
        taught(one.admission)
        one.update_load(SLOW)
        waiting = asyncio.create_task(one.start_call(call(), UNLIMITED))
        await asyncio.sleep(0)
        assert one.admission.in_flight == 0
        one.update_load(USUAL)
        assert (await waiting).started is not None

    run(scenario)


def busy(admission, running=3):
    """An admission with so many requests running."""
    for _ in range(running):
        admission.arrive(call(), 0.0)
    assert admission.in_flight == running
    return admission


def test_what_waited_in_vain_starts_on_a_slow_server_only_if_it_comes_little_late():
    admission = busy(taught(Admission(AdmissionSettings(slots=6))))
    admission.timing.slowness = 4.0
    close = admission.arrive(call(target=0.45, hold=0.1), 0.0)
    far = admission.arrive(call(target=0.2, hold=0.05), 0.0)
    assert close.started is None and far.started is None
    assert admission.expire(close, 0.1) and close.started == 0.1
    assert not admission.expire(far, 0.05)
    assert admission.queued == 0


def test_what_waited_in_vain_starts_late_if_its_caller_waits_much_longer_than_its_target():
    admission = busy(taught(Admission(AdmissionSettings(slots=5)), took=0.06))
    admission.timing.slowness = 4.0
    patient = admission.arrive(call(target=0.16, hold=0.04, deadline=0.8), 0.0)
    hurried = admission.arrive(call(target=0.16, hold=0.04, deadline=0.4), 0.0)
    assert admission.expire(patient, 0.04) and patient.started is not None
    assert not admission.expire(hurried, 0.04)


def test_with_half_of_the_slots_free_what_waited_in_vain_starts_if_it_meets_its_deadline():
    """A look-up that a request made: refused, it would fail that request for a free slot."""
    for running, starts in ((2, True), (3, False)):
        admission = busy(taught(Admission(AdmissionSettings(slots=4)), took=0.055), running)
        admission.timing.slowness = 4.0
        lookup = admission.arrive(call(target=0.15, hold=0.04, deadline=0.5), 0.0)
        assert admission.expire(lookup, 0.04) is starts
    admission = taught(Admission(AdmissionSettings(slots=4)), took=0.12)
    admission.timing.slowness = 4.0
    hopeless = admission.arrive(call(target=0.15, hold=0.04, deadline=0.5), 0.0)
    assert isinstance(hopeless, NotRun) or not admission.expire(hopeless, 0.04)


def test_what_is_late_goes_behind_what_may_meet_its_target():
    admission = taught(Admission(AdmissionSettings(slots=1)))
    running = admission.arrive(call(), 0.0)
    late = admission.arrive(call(target=0.15, hold=UNLIMITED), 0.0)
    in_time = admission.arrive(call(target=0.9, hold=UNLIMITED), 0.0)
    (started,) = admission.finish(running, 0.12, worked=True)
    assert started is in_time and late.is_late
    assert admission.finish(in_time, 0.24, worked=True) == [late]


def test_what_will_miss_its_target_in_the_queue_is_refused_at_once():
    admission = taught(Admission(AdmissionSettings(slots=1)))
    admission.arrive(call(), 0.0)
    waits = admission.arrive(call(target=0.4, hold=0.4), 0.0)
    assert isinstance(waits, Ticket) and waits.started is None
    refusal = admission.arrive(call(target=0.34, hold=0.34), 0.0)
    assert isinstance(refusal, NotRun) and refusal.reason is Reason.OVERLOADED
    assert refusal.retry_after > 0.12  # not before there is room


def test_what_may_still_meet_its_target_is_held_and_no_longer():
    admission = taught(Admission(AdmissionSettings(slots=1)))
    admission.arrive(call(), 0.0)
    waiting = call(target=0.4, hold=0.4)
    assert abs(admission.timing.latest_start(waiting, 0.0) - 0.28) < 0.01
    # On a slow server it is held for as long as a fast one could still make it.
    admission.timing.slowness = 4.0
    assert abs(admission.timing.latest_start(waiting, 0.0) - 0.28) < 0.01


def test_kinds_of_one_server_are_told_apart_by_what_they_take():
    admission = taught(Admission(AdmissionSettings(slots=4)))
    short = RequestKind("short", repeatable=True)
    ticket = admission.arrive(call(kind=short), 0.0)
    admission.finish(ticket, 0.02, worked=True)
    admission.timing.slowness = 4.0
    assert isinstance(admission.arrive(call(), 0.0, max_wait=0.03), NotRun)
    assert admission.arrive(call(kind=short), 0.0, max_wait=0.03).started is not None


def test_work_begun_at_an_unknown_speed_says_nothing_of_the_usual_one():
    one, clock = gate(slots=4)
    one.on_speed_unknown()
    ticket = one.admission.arrive(call(), clock.now)
    one.update_load(SLOW)
    clock.now = 0.8
    one.finish_call(ticket, worked=True)
    one.update_load(USUAL)
    assert one.admission.arrive(call(target=1.2), clock.now, max_wait=0.03).started is not None


def test_work_during_which_the_speed_changed_says_nothing_of_the_usual_one():
    admission = taught(Admission(AdmissionSettings(slots=4)), took=0.1)
    for _ in range(20):
        ticket = admission.arrive(call(), 0.0)
        admission.timing.slowness = 4.0  # it was slow already, and told it with its answer
        admission.finish(ticket, 0.4, worked=True)
        admission.timing.slowness = 1.0
    assert admission.timing.usual_service_time(0.0) == 0.1


def test_a_speed_that_wavers_a_little_still_teaches():
    admission = taught(Admission(AdmissionSettings(slots=4)), took=0.1)
    for _ in range(100):
        ticket = admission.arrive(call(), 0.0)
        admission.timing.slowness = 1.1
        admission.finish(ticket, 0.2, worked=True)
        admission.timing.slowness = 1.0
    assert admission.timing.usual_service_time(0.0) > 0.15


def test_a_server_that_never_tells_its_load_counts_as_usual():
    one, _ = gate()
    one.on_speed_unknown()
    one.on_missing_load()
    assert one.admission.timing.is_speed_known and not one.needs_probe.is_set()


def test_what_waits_at_a_server_that_turns_slow_goes_elsewhere_at_once():
    async def scenario():
        one, _ = gate()
        taught(one.admission)
        running = await one.start_call(call(), UNLIMITED)
        waiting = asyncio.create_task(one.start_call(call(), 0.5))
        stays = asyncio.create_task(one.start_call(call(hold=UNLIMITED), UNLIMITED))
        await asyncio.sleep(0)
        one.update_load(SLOW)
        refusal = await waiting
        assert isinstance(refusal, NotRun) and refusal.reason is Reason.OVERLOADED
        one.finish_call(running, worked=True)
        assert (await stays).started is not None

    run(scenario)


def test_a_gate_knows_when_its_server_is_slow():
    one, _ = gate()
    one.update_load(SLOW)
    assert one.needs_probe.is_set()
    assert one.load_report().slowness == 4.0
    one.update_load(USUAL)
    assert not one.needs_probe.is_set()


def test_a_request_held_to_its_bound_is_refused_with_a_time_to_come_back():
    async def scenario():
        one, clock = gate()
        await one.start_call(call(), UNLIMITED)
        waiting = asyncio.create_task(one.start_call(call(hold=0.02), UNLIMITED))
        await asyncio.sleep(0)
        clock.now = 0.02
        refusal = await waiting
        assert isinstance(refusal, NotRun)
        assert refusal.reason is Reason.OVERLOADED and refusal.retry_after > 0
        assert one.admission.queued == 0

    run(scenario)


def test_a_gate_to_no_one_known_refuses_without_saying_that_it_drains():
    one, _ = gate()
    one.admission.closures.add(ClosedBy.SERVER_UNKNOWN)
    refusal = one.admission.arrive(call(), 0.0)
    assert refusal.reason is Reason.NOT_READY and refusal.is_retryable
    assert not one.load_report().leaving
    one.on_server_available()
    assert one.admission.arrive(call(), 0.0).started is not None


def test_a_gate_that_is_closed_for_many_reasons_names_the_first():
    one, _ = gate()
    reasons = list(ClosedBy)
    for reason in reversed(reasons):
        one.admission.closures.add(reason)
    told = []
    for reason in reasons:
        told.append(one.admission.arrive(call(), 0.0))
        one.admission.closures.remove(reason)
    assert told == [
        NotRun(Reason.ZONE_EMPTIED),
        NotRun(Reason.ZONE_EMPTIED),
        NotRun(Reason.NOT_READY, 0.2),
        NotRun(Reason.DRAINING),
        NotRun(Reason.UNREACHABLE, 0.2),
    ]
    assert one.admission.arrive(call(), 0.0).started is not None


def test_a_server_that_resets_gets_nothing_more_until_it_answers():
    async def scenario():
        one, _ = gate()
        await one.start_call(call(), UNLIMITED)
        waiting = asyncio.create_task(one.start_call(call(), UNLIMITED))
        await asyncio.sleep(0)
        one.on_connection_failure()
        assert not one.is_closed_by(ClosedBy.SERVER_LOST)
        one.on_connection_failure()
        assert (await waiting).reason is Reason.UNREACHABLE
        assert one.admission.arrive(call(), 0.0).reason is Reason.UNREACHABLE
        assert one.needs_probe.is_set()
        one.on_answer()
        assert not one.needs_probe.is_set()
        assert isinstance(one.admission.arrive(call(), 0.0, UNLIMITED), Ticket)

    run(scenario)


def test_resets_between_answers_do_not_close_the_gate():
    one, _ = gate()
    for _ in range(10):
        one.on_connection_failure()
        one.on_answer()
    assert not one.is_closed_by(ClosedBy.SERVER_LOST)


def test_a_gate_that_no_one_reopens_is_not_closed():
    one, _ = gate(is_probed=False)
    for _ in range(10):
        one.on_connection_failure()
    assert not one.is_closed_by(ClosedBy.SERVER_LOST)
