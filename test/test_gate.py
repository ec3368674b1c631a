"""Gate of a slow, lost or unknown backend server: which requests wait there, and how long."""

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


class ManualClock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def make_gate(slots=1, is_probed=True):
    clock = ManualClock()
    admission = Admission(AdmissionSettings(slots=slots))
    return Gate(admission, View(), clock, is_probed=is_probed), clock


def make_call(target=0.4, hold_until=0.1, deadline=1.0, kind=LOOKUP):
    return Call("w", "papers", kind, deadline, target=target, hold_until=hold_until)


def with_service_time(admission, seconds=0.12):
    """Let an admission observe the service time of one lookup."""
    ticket = admission.arrive(make_call(), 0.0)
    admission.finish(ticket, seconds, worked=True)
    return admission


def test_load_is_decoded_with_and_without_slowness():
    assert decode_backend_load(b"3,0,8") == BackendLoad(3, 0, 8)
    assert decode_backend_load(b"3,1,8,400") == BackendLoad(3, 1, 8, 4.0)
    for malformed in (b"", b"3,0", b"a,b,c", b"-1,0,8", b"1,1,0"):
        assert decode_backend_load(malformed) is None


def test_a_slow_server_refuses_a_request_that_would_miss_its_target_if_others_can_take_it():
    admission = with_service_time(Admission(AdmissionSettings(slots=4)))
    admission.timing.slowness = 4.0
    refusal = admission.arrive(make_call(), 0.0, max_wait=0.03)
    assert isinstance(refusal, NotRun) and refusal.reason is Reason.OVERLOADED
    assert admission.arrive(make_call(target=0.6), 0.0, max_wait=0.03).started is not None
    waiting = admission.arrive(make_call(), 0.0, UNLIMITED)
    assert waiting.started is None and admission.queued == 1


def test_a_request_that_waits_for_a_slow_server_starts_when_it_is_fast_again():
    async def scenario():
        gate, _ = make_gate(slots=4)
        with_service_time(gate.admission)
        gate.update_load(SLOW)
        waiting = asyncio.create_task(gate.start_call(make_call(), UNLIMITED))
        await asyncio.sleep(0)
        assert gate.admission.in_flight == 0
        gate.update_load(USUAL)
        assert (await waiting).started is not None

    run(scenario)


def with_running(admission, running=3):
    """Start `running` requests."""
    for _ in range(running):
        admission.arrive(make_call(), 0.0)
    assert admission.in_flight == running
    return admission


def test_a_request_whose_wait_expired_starts_on_a_slow_server_only_if_it_is_slightly_late():
    admission = with_running(with_service_time(Admission(AdmissionSettings(slots=6))))
    admission.timing.slowness = 4.0
    slightly_late = admission.arrive(make_call(target=0.45, hold_until=0.1), 0.0)
    very_late = admission.arrive(make_call(target=0.2, hold_until=0.05), 0.0)
    assert slightly_late.started is None and very_late.started is None
    assert admission.expire(slightly_late, 0.1) and slightly_late.started == 0.1
    assert not admission.expire(very_late, 0.05)
    assert admission.queued == 0


def test_a_request_whose_wait_expired_starts_late_if_its_deadline_is_long_after_its_target():
    admission = with_running(
        with_service_time(Admission(AdmissionSettings(slots=5)), seconds=0.06)
    )
    admission.timing.slowness = 4.0
    long_deadline = admission.arrive(make_call(target=0.16, hold_until=0.04, deadline=0.8), 0.0)
    short_deadline = admission.arrive(
        make_call(target=0.16, hold_until=0.04, deadline=0.4), 0.0
    )
    assert admission.expire(long_deadline, 0.04) and long_deadline.started is not None
    assert not admission.expire(short_deadline, 0.04)


def test_with_half_of_the_slots_free_a_request_starts_late_if_it_meets_its_deadline():
    """Refusing a nested call although slots are free would make the outer request fail."""
    for running, is_started in ((2, True), (3, False)):
        admission = with_running(
            with_service_time(Admission(AdmissionSettings(slots=4)), seconds=0.055), running
        )
        admission.timing.slowness = 4.0
        lookup = admission.arrive(make_call(target=0.15, hold_until=0.04, deadline=0.5), 0.0)
        assert admission.expire(lookup, 0.04) is is_started
    admission = with_service_time(Admission(AdmissionSettings(slots=4)), seconds=0.12)
    admission.timing.slowness = 4.0
    misses_deadline = admission.arrive(
        make_call(target=0.15, hold_until=0.04, deadline=0.5), 0.0
    )
    assert isinstance(misses_deadline, NotRun) or not admission.expire(misses_deadline, 0.04)


def test_a_late_request_is_queued_behind_those_that_may_meet_their_target():
    admission = with_service_time(Admission(AdmissionSettings(slots=1)))
    running = admission.arrive(make_call(), 0.0)
    late = admission.arrive(make_call(target=0.15, hold_until=UNLIMITED), 0.0)
    in_time = admission.arrive(make_call(target=0.9, hold_until=UNLIMITED), 0.0)
    (started,) = admission.finish(running, 0.12, worked=True)
    assert started is in_time and late.is_late
    assert admission.finish(in_time, 0.24, worked=True) == [late]


def test_a_request_that_will_miss_its_target_in_the_queue_is_refused_immediately():
    admission = with_service_time(Admission(AdmissionSettings(slots=1)))
    admission.arrive(make_call(), 0.0)
    waiting = admission.arrive(make_call(target=0.4, hold_until=0.4), 0.0)
    assert isinstance(waiting, Ticket) and waiting.started is None
    refusal = admission.arrive(make_call(target=0.34, hold_until=0.34), 0.0)
    assert isinstance(refusal, NotRun) and refusal.reason is Reason.OVERLOADED
    assert refusal.retry_after > 0.12  # not before the running request ends


def test_a_request_is_held_only_while_it_may_still_meet_its_target():
    admission = with_service_time(Admission(AdmissionSettings(slots=1)))
    admission.arrive(make_call(), 0.0)
    held_call = make_call(target=0.4, hold_until=0.4)
    assert abs(admission.timing.latest_start(held_call, 0.0) - 0.28) < 0.01
    # On a slow server, too, it may wait until the latest start for the usual speed.
    admission.timing.slowness = 4.0
    assert abs(admission.timing.latest_start(held_call, 0.0) - 0.28) < 0.01


def test_service_times_are_kept_by_kind_of_request():
    admission = with_service_time(Admission(AdmissionSettings(slots=4)))
    short_kind = RequestKind("short", repeatable=True)
    ticket = admission.arrive(make_call(kind=short_kind), 0.0)
    admission.finish(ticket, 0.02, worked=True)
    admission.timing.slowness = 4.0
    assert isinstance(admission.arrive(make_call(), 0.0, max_wait=0.03), NotRun)
    assert admission.arrive(make_call(kind=short_kind), 0.0, max_wait=0.03).started is not None


def test_work_begun_at_an_unknown_speed_does_not_change_the_usual_service_time():
    gate, clock = make_gate(slots=4)
    gate.on_speed_unknown()
    ticket = gate.admission.arrive(make_call(), clock.now)
    gate.update_load(SLOW)
    clock.now = 0.8
    gate.finish_call(ticket, worked=True)
    gate.update_load(USUAL)
    assert (
        gate.admission.arrive(make_call(target=1.2), clock.now, max_wait=0.03).started
        is not None
    )


def test_work_during_which_the_speed_changed_does_not_change_the_usual_service_time():
    admission = with_service_time(Admission(AdmissionSettings(slots=4)), seconds=0.1)
    for _ in range(20):
        ticket = admission.arrive(make_call(), 0.0)
        admission.timing.slowness = 4.0  # reported with the response, but in effect earlier
        admission.finish(ticket, 0.4, worked=True)
        admission.timing.slowness = 1.0
    assert admission.timing.usual_service_time(0.0) == 0.1


def test_service_times_are_observed_despite_small_changes_of_the_speed():
    admission = with_service_time(Admission(AdmissionSettings(slots=4)), seconds=0.1)
    for _ in range(100):
        ticket = admission.arrive(make_call(), 0.0)
        admission.timing.slowness = 1.1
        admission.finish(ticket, 0.2, worked=True)
        admission.timing.slowness = 1.0
    assert admission.timing.usual_service_time(0.0) > 0.15


def test_a_server_that_never_reports_its_load_is_assumed_to_have_its_usual_speed():
    gate, _ = make_gate()
    gate.on_speed_unknown()
    gate.on_missing_load()
    assert gate.admission.timing.is_speed_known and not gate.needs_probe.is_set()


def test_requests_that_wait_at_a_server_that_turns_slow_are_refused_immediately():
    async def scenario():
        gate, _ = make_gate()
        with_service_time(gate.admission)
        running = await gate.start_call(make_call(), UNLIMITED)
        waiting = asyncio.create_task(gate.start_call(make_call(), 0.5))
        waiting_here = asyncio.create_task(
            gate.start_call(make_call(hold_until=UNLIMITED), UNLIMITED)
        )
        await asyncio.sleep(0)
        gate.update_load(SLOW)
        refusal = await waiting
        assert isinstance(refusal, NotRun) and refusal.reason is Reason.OVERLOADED
        gate.finish_call(running, worked=True)
        assert (await waiting_here).started is not None

    run(scenario)


def test_a_slow_server_needs_a_probe_and_is_reported_as_slow():
    gate, _ = make_gate()
    gate.update_load(SLOW)
    assert gate.needs_probe.is_set()
    assert gate.load_report().slowness == 4.0
    gate.update_load(USUAL)
    assert not gate.needs_probe.is_set()


def test_a_request_held_until_its_latest_start_is_refused_with_a_retry_time():
    async def scenario():
        gate, clock = make_gate()
        await gate.start_call(make_call(), UNLIMITED)
        waiting = asyncio.create_task(gate.start_call(make_call(hold_until=0.02), UNLIMITED))
        await asyncio.sleep(0)
        clock.now = 0.02
        refusal = await waiting
        assert isinstance(refusal, NotRun)
        assert refusal.reason is Reason.OVERLOADED and refusal.retry_after > 0
        assert gate.admission.queued == 0

    run(scenario)


def test_a_gate_of_an_unknown_server_refuses_without_reporting_that_it_drains():
    gate, _ = make_gate()
    gate.admission.closures.add(ClosedBy.SERVER_UNKNOWN)
    refusal = gate.admission.arrive(make_call(), 0.0)
    assert refusal.reason is Reason.NOT_READY and refusal.is_retryable
    assert not gate.load_report().leaving
    gate.on_server_available()
    assert gate.admission.arrive(make_call(), 0.0).started is not None


def test_a_gate_that_is_closed_for_many_reasons_refuses_with_the_first():
    gate, _ = make_gate()
    reasons = list(ClosedBy)
    for reason in reversed(reasons):
        gate.admission.closures.add(reason)
    refusals = []
    for reason in reasons:
        refusals.append(gate.admission.arrive(make_call(), 0.0))
        gate.admission.closures.remove(reason)
    assert refusals == [
        NotRun(Reason.ZONE_EMPTIED),
        NotRun(Reason.ZONE_EMPTIED),
        NotRun(Reason.NOT_READY, 0.2),
        NotRun(Reason.DRAINING),
        NotRun(Reason.UNREACHABLE, 0.2),
    ]
    assert gate.admission.arrive(make_call(), 0.0).started is not None


def test_a_server_that_resets_connections_gets_no_requests_until_it_answers():
    async def scenario():
        gate, _ = make_gate()
        await gate.start_call(make_call(), UNLIMITED)
        waiting = asyncio.create_task(gate.start_call(make_call(), UNLIMITED))
        await asyncio.sleep(0)
        gate.on_connection_failure()
        assert not gate.is_closed_by(ClosedBy.SERVER_LOST)
        gate.on_connection_failure()
        assert (await waiting).reason is Reason.UNREACHABLE
        assert gate.admission.arrive(make_call(), 0.0).reason is Reason.UNREACHABLE
        assert gate.needs_probe.is_set()
        gate.on_answer()
        assert not gate.needs_probe.is_set()
        assert isinstance(gate.admission.arrive(make_call(), 0.0, UNLIMITED), Ticket)

    run(scenario)


def test_resets_between_answers_do_not_close_the_gate():
    gate, _ = make_gate()
    for _ in range(10):
        gate.on_connection_failure()
        gate.on_answer()
    assert not gate.is_closed_by(ClosedBy.SERVER_LOST)


def test_a_gate_without_a_probe_that_could_reopen_it_is_not_closed():
    gate, _ = make_gate(is_probed=False)
    for _ in range(10):
        gate.on_connection_failure()
    assert not gate.is_closed_by(ClosedBy.SERVER_LOST)
