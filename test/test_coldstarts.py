"""The limit for starts at a cold backend server, which must hold in any second."""

import asyncio
from bisect import bisect_left
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wheatslip.admission import Admission, AdmissionSettings, ColdStartLimiter, cold_rate
from wheatslip.call import UNLIMITED, Call, CallClass, RequestKind
from wheatslip.outcome import NotRun, Reason
from wheatslipd.controllers.view import View
from wheatslipd.gate.gate import Gate

from test.helper import run

COLD_PER_SECOND = 8.0
OVERAGE = 1.5
SLACK = 8.0
MAX_STARTS_PER_SECOND = COLD_PER_SECOND * OVERAGE + SLACK  # in any window of one second
RATE = cold_rate(3.0, COLD_PER_SECOND, OVERAGE, SLACK)
CONNECT_DELAY_SECONDS = 0.25  # longest delay of a start by a new connection
RESTART_SECONDS = 0.33  # shortest restart of a daemon
VIEW = RequestKind("view", repeatable=True)
URGENT = RequestKind("issue", repeatable=False, call_class=CallClass.URGENT)


def make_call(now=0.0, target=1.0, kind=VIEW):
    return Call("w", "s", kind, now + 3 * target, target=now + target, hold_until=now + target)


def max_in_any_second(times):
    times = sorted(times)
    return max(
        (
            bisect_left(times, window_start + 1.0) - index
            for index, window_start in enumerate(times)
        ),
        default=0,
    )


def make_cold_gate(slots=4, cold_seconds=3.0, service_time=0.1):
    admission = Admission(AdmissionSettings(slots=slots))
    ticket = admission.arrive(make_call(-100.0), -100.0)
    admission.finish(ticket, -100.0 + service_time, worked=True)
    admission.cold.set_rate(RATE)
    admission.cold.on_report(cold_seconds, 0.0)
    return admission


def simulate_starts(admission, arrivals, service_time, until):
    """Times of the starts at one gate, whose calls take `service_time` seconds each."""
    starts = []
    running = []
    now = 0.0
    while now < until:
        for ticket in [t for t in running if t.started + service_time <= now]:
            running.remove(ticket)
            running += admission.finish(ticket, now, worked=True)
        running += admission.admit(now)
        while arrivals and arrivals[0] <= now:
            arrivals.pop(0)
            result = admission.arrive(make_call(now), now)
            if not isinstance(result, NotRun) and result.started is not None:
                running.append(result)
        starts += [t.started for t in running if t.started == now]
        now = round(now + 0.001, 3)
    return starts


def test_burst_of_requests_at_a_cold_server_stays_within_its_limit():
    rng = Random(7)
    arrivals = sorted(rng.random() * 3.0 for _ in range(600))
    starts = simulate_starts(make_cold_gate(), arrivals, 0.02, 3.0)
    assert max_in_any_second(starts) <= MAX_STARTS_PER_SECOND
    # The permitted rate is used.
    assert len(starts) >= 3 * COLD_PER_SECOND * OVERAGE


def test_requests_delayed_by_new_connections_arrive_within_the_limit():
    rng = Random(8)
    starts = simulate_starts(
        make_cold_gate(), sorted(rng.random() * 3.0 for _ in range(600)), 0.02, 3.0
    )
    # New connections delay the starts in the first quarter of each second.
    arrived = [
        start + CONNECT_DELAY_SECONDS * (start % 1.0 < CONNECT_DELAY_SECONDS)
        for start in starts
    ]
    assert max_in_any_second(arrived) <= MAX_STARTS_PER_SECOND


def test_starts_before_and_after_a_daemon_restart_stay_within_the_limit():
    before = simulate_starts(make_cold_gate(), [n * 0.002 for n in range(500)], 0.02, 1.0)
    for restart_seconds in (RESTART_SECONDS, 0.5, 0.9):
        after = simulate_starts(make_cold_gate(), [n * 0.002 for n in range(500)], 0.02, 1.0)
        all_starts = before + [start + 1.0 + restart_seconds for start in after]
        assert max_in_any_second(all_starts) <= MAX_STARTS_PER_SECOND


def test_starts_before_the_cold_report_count_towards_the_limit():
    limiter = ColdStartLimiter()
    limiter.set_rate(RATE)
    for number in range(30):
        limiter.on_start(0.5 + number * 0.01)  # the server is not known to be cold
    limiter.on_report(3.0, 0.8)
    assert limiter.wait(0, 0.8) > 0.6


@settings(max_examples=200, deadline=None)
@given(
    steps=st.lists(
        st.tuples(st.floats(0.0, 0.4), st.sampled_from(["start", "report", "probe", "assume"])),
        max_size=80,
    )
)
def test_limit_holds_for_any_order_of_reports_and_probes(steps):
    limiter = ColdStartLimiter()
    limiter.set_rate(RATE)
    now = 0.0
    cold_starts = []
    for pause, event in steps:
        now += pause
        match event:
            case "start" if limiter.wait(0, now) <= 0:
                limiter.on_start(now)
                if limiter.is_cold(now):
                    cold_starts.append(now)
            case "report":
                limiter.on_report(3.0, now)
            case "probe":
                limiter.on_probe_answered()
            case "assume":
                limiter.assume_cold(now)
    assert max_in_any_second(cold_starts) <= RATE.max_per_second < MAX_STARTS_PER_SECOND


def test_report_of_a_warm_server_does_not_cancel_a_cold_period():
    limiter = ColdStartLimiter()
    limiter.set_rate(RATE)
    limiter.on_report(3.0, 1.0)
    limiter.on_report(0.0, 1.1)
    limiter.on_probe_answered()
    assert limiter.is_cold(3.9) and not limiter.is_cold(4.1)


def test_assumed_cold_period_ends_with_a_probe_answer():
    limiter = ColdStartLimiter()
    limiter.set_rate(RATE)
    limiter.assume_cold(1.0)
    assert limiter.is_cold(1.1)
    limiter.on_probe_answered()
    assert not limiter.is_cold(1.1)


def test_server_without_a_cold_rate_has_no_limit():
    limiter = ColdStartLimiter()
    limiter.on_report(3.0, 0.0)
    for number in range(100):
        assert limiter.wait(0, number * 0.001) == 0
        limiter.on_start(number * 0.001)


def test_waiting_calls_start_at_the_cold_rate_and_urgent_ones_first():
    admission = make_cold_gate(slots=20)
    while (
        not isinstance(result := admission.arrive(make_call(), 0.0), NotRun)
        and result.started == 0
    ):
        continue
    waiting = result
    urgent = admission.arrive(make_call(kind=URGENT), 0.0)
    wait = admission.paced_start_wait(0.0)
    assert 0 < wait <= RATE.spacing
    assert admission.admit(wait / 2) == []
    assert admission.admit(wait + 1e-9) == [urgent]
    next_wait = admission.paced_start_wait(wait + 1e-9)
    assert admission.admit(wait + next_wait + 1e-8) == [waiting]


def test_call_that_cannot_start_before_its_target_is_refused_on_arrival():
    admission = make_cold_gate(slots=20, service_time=0.1)
    outcomes = [admission.arrive(make_call(target=0.3), 0.0) for _ in range(20)]
    refused = [o for o in outcomes if isinstance(o, NotRun)]
    assert refused and all(o.reason is Reason.OVERLOADED for o in refused)
    # The caller is told to return after the starts of the waiting calls.
    assert refused[-1].retry_after == pytest.approx(0.2, abs=0.1)


def test_reported_limit_is_the_concurrency_that_the_cold_rate_can_use():
    admission = make_cold_gate(slots=6, service_time=0.1)
    assert admission.reported_limit(0.0) == 2  # 12 starts per second that run for 0.1 s each
    assert admission.reported_limit(5.0) == 6


FAILURE_RATE_PER_SECOND = 2 * COLD_PER_SECOND  # a cold server fails above it
DOWNTIME_SECONDS = 0.5  # after a failure; the server is then cold
DEMAND_PER_SECOND = 30.0  # well within the capacity of the warm server
WARM_SERVICE_SECONDS = 0.07  # twice as long on the cold server


def simulate_failures(rate, seconds):
    """Failures of a server that starts cold, and its number of answers in the last 5 seconds.

    Its gate limits it to `rate`, or only to its slots if `rate` is None.
    """
    admission = Admission(AdmissionSettings(slots=4))
    admission.cold.set_rate(rate)
    admission.cold.on_report(3.0, 0.0)
    cold_until = 3.0
    back_at = 0.0
    running = []
    starts = []
    answered = failures = arrived = 0
    now = 0.0
    while now < seconds:
        for ticket in [
            t
            for t in running
            if t.started + WARM_SERVICE_SECONDS * (1 + (now < cold_until)) <= now
        ]:
            running.remove(ticket)
            answered += now >= seconds - 5.0
            running += admission.finish(ticket, now, worked=True)
        running += admission.admit(now)
        while arrived < now * DEMAND_PER_SECOND:
            arrived += 1
            result = admission.arrive(make_call(now, 0.3), now)
            if not isinstance(result, NotRun) and result.started is not None:
                running.append(result)
        starts += [t.started for t in running if t.started == now]
        starts_in_last_second = sum(start > now - 1.0 for start in starts)
        if back_at <= now < cold_until and starts_in_last_second > FAILURE_RATE_PER_SECOND:
            failures += 1
            back_at = now + DOWNTIME_SECONDS
            cold_until = back_at + 3.0
            lost, running = running, []
            for ticket in lost:
                running += admission.finish(ticket, now, worked=False)
            starts.clear()
            admission.cold.on_report(cold_until - now, now)
        now = round(now + 0.005, 3)
    return failures, answered


def test_cold_server_under_load_fails_repeatedly_without_a_rate_limit():
    failures, answered = simulate_failures(None, 20.0)
    assert failures >= 5
    limited_failures, limited_answered = simulate_failures(RATE, 20.0)
    assert limited_failures == 0 and limited_answered > answered
    assert limited_answered >= 0.9 * 5.0 * DEMAND_PER_SECOND


def test_waiting_call_starts_when_the_server_is_found_to_be_warm():
    async def scenario():
        gate = Gate(Admission(AdmissionSettings(slots=20)), View(), lambda: 0.0)
        gate.admission.cold.set_rate(RATE)
        gate.admission.cold.assume_cold(0.0)
        for _ in range(int(RATE.burst)):
            await gate.start_call(make_call(), UNLIMITED)
        waiting = asyncio.create_task(gate.start_call(make_call(), UNLIMITED))
        await asyncio.sleep(0)
        assert not waiting.done()
        gate.update_cold_state(0.0)
        await asyncio.sleep(0)
        assert waiting.done() and waiting.result().started == 0.0

    run(scenario)
