"""Turns of a cold backend server: its bound holds in any second, whatever the course."""

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

PER_SECOND = 8.0
OVERAGE = 1.5
SLACK = 8.0
BOUND = PER_SECOND * OVERAGE + SLACK  # requests in any second
RATE = cold_rate(3.0, PER_SECOND, OVERAGE, SLACK)
ON_THE_WAY = 0.25  # seconds that a new connection may hold a start up
RESTART = 0.33  # seconds that a daemon needs to start again, at least
VIEW = RequestKind("view", repeatable=True)
URGENT = RequestKind("issue", repeatable=False, call_class=CallClass.URGENT)


def call(now=0.0, target=1.0, kind=VIEW):
    return Call("w", "s", kind, now + 3 * target, target=now + target, hold_until=now + target)


def most_in_any_second(times):
    times = sorted(times)
    return max(
        (bisect_left(times, since + 1.0) - place for place, since in enumerate(times)),
        default=0,
    )


def cold_gate(slots=4, told=3.0, service=0.1):
    admission = Admission(AdmissionSettings(slots=slots))
    taught = admission.arrive(call(-100.0), -100.0)
    admission.finish(taught, -100.0 + service, worked=True)
    admission.cold.set_rate(RATE)
    admission.cold.on_report(told, 0.0)
    return admission


def play(admission, arrivals, service, until):
    """Starts at one gate, whose calls each take `service` seconds."""
    starts = []
    running = []
    now = 0.0
    while now < until:
        for ticket in [t for t in running if t.started + service <= now]:
            running.remove(ticket)
            running += admission.finish(ticket, now, worked=True)
        running += admission.admit(now)
        while arrivals and arrivals[0] <= now:
            arrivals.pop(0)
            found = admission.arrive(call(now), now)
            if not isinstance(found, NotRun) and found.started is not None:
                running.append(found)
        starts += [t.started for t in running if t.started == now]
        now = round(now + 0.001, 3)
    return starts


def test_a_storm_at_a_cold_server_stays_below_its_bound_in_any_second():
    rng = Random(7)
    arrivals = sorted(rng.random() * 3.0 for _ in range(600))
    starts = play(cold_gate(), arrivals, 0.02, 3.0)
    assert most_in_any_second(starts) <= BOUND
    # It is not starved either: its rate is used.
    assert len(starts) >= 3 * PER_SECOND * OVERAGE


def test_what_is_held_up_on_its_way_stays_below_the_bound_where_it_arrives():
    rng = Random(8)
    starts = play(cold_gate(), sorted(rng.random() * 3.0 for _ in range(600)), 0.02, 3.0)
    # Each second that begins with connections just made gets what was held up until then.
    arrived = [start + ON_THE_WAY * (start % 1.0 < ON_THE_WAY) for start in starts]
    assert most_in_any_second(arrived) <= BOUND


def test_a_daemon_that_is_restarted_stays_below_the_bound_with_the_one_before():
    before = play(cold_gate(), [n * 0.002 for n in range(500)], 0.02, 1.0)
    for gap in (RESTART, 0.5, 0.9):
        after = play(cold_gate(), [n * 0.002 for n in range(500)], 0.02, 1.0)
        both = before + [start + 1.0 + gap for start in after]
        assert most_in_any_second(both) <= BOUND


def test_starts_before_the_coldness_was_known_count_too():
    starts = ColdStartLimiter()
    starts.set_rate(RATE)
    for number in range(30):
        starts.on_start(0.5 + number * 0.01)  # it was warm, as far as was known
    starts.on_report(3.0, 0.8)
    assert starts.wait(0, 0.8) > 0.6


@settings(max_examples=200, deadline=None)
@given(
    steps=st.lists(
        st.tuples(st.floats(0.0, 0.4), st.sampled_from(["start", "told", "asked", "assume"])),
        max_size=80,
    )
)
def test_the_bound_holds_whatever_is_heard_in_whichever_order(steps):
    starts = ColdStartLimiter()
    starts.set_rate(RATE)
    now = 0.0
    cold_starts = []
    for pause, what in steps:
        now += pause
        match what:
            case "start" if starts.wait(0, now) <= 0:
                starts.on_start(now)
                if starts.is_cold(now):
                    cold_starts.append(now)
            case "told":
                starts.on_report(3.0, now)
            case "asked":
                starts.on_probe_answered()
            case "assume":
                starts.assume_cold(now)
    assert most_in_any_second(cold_starts) <= RATE.max_per_second < BOUND


def test_an_older_word_of_warmth_takes_coldness_not_back():
    starts = ColdStartLimiter()
    starts.set_rate(RATE)
    starts.on_report(3.0, 1.0)
    starts.on_report(0.0, 1.1)
    starts.on_probe_answered()
    assert starts.is_cold(3.9) and not starts.is_cold(4.1)


def test_what_is_only_assumed_ends_with_the_servers_answer():
    starts = ColdStartLimiter()
    starts.set_rate(RATE)
    starts.assume_cold(1.0)
    assert starts.is_cold(1.1)
    starts.on_probe_answered()
    assert not starts.is_cold(1.1)


def test_a_server_without_a_rate_has_no_bound():
    starts = ColdStartLimiter()
    starts.on_report(3.0, 0.0)
    for number in range(100):
        assert starts.wait(0, number * 0.001) == 0
        starts.on_start(number * 0.001)


def test_who_waits_for_a_turn_starts_with_it_and_the_urgent_go_first():
    admission = cold_gate(slots=20)
    while not isinstance(found := admission.arrive(call(), 0.0), NotRun) and found.started == 0:
        continue
    waiting = found
    urgent = admission.arrive(call(kind=URGENT), 0.0)
    wait = admission.cold_start_wait(0.0)
    assert 0 < wait <= RATE.spacing
    assert admission.admit(wait / 2) == []
    assert admission.admit(wait + 1e-9) == [urgent]
    later = admission.cold_start_wait(wait + 1e-9)
    assert admission.admit(wait + later + 1e-8) == [waiting]


def test_what_can_get_no_turn_before_its_target_is_refused_at_once():
    admission = cold_gate(slots=20, service=0.1)
    outcomes = [admission.arrive(call(target=0.3), 0.0) for _ in range(20)]
    refused = [o for o in outcomes if isinstance(o, NotRun)]
    assert refused and all(o.reason is Reason.OVERLOADED for o in refused)
    # Told when: not before the turns of those that wait.
    assert refused[-1].retry_after == pytest.approx(0.2, abs=0.1)


def test_others_hear_of_no_more_room_than_the_rate_keeps_busy():
    admission = cold_gate(slots=6, service=0.1)
    assert admission.reported_limit(0.0) == 2  # 12 a second of 0.1 s each
    assert admission.reported_limit(5.0) == 6


FALLS_AT = 2 * PER_SECOND  # requests in a second that a cold server falls over at
DOWN = 0.5  # seconds until it is back, cold
DEMAND = 30.0  # requests a second, which the warm server bears easily
SERVICE = 0.07  # seconds, twice as long while it is cold


def falls_of_a_cold_server(rate, seconds):
    """How often a server falls over whose gate holds it to `rate`, or to its slots alone, and
    the answers of the last five seconds.
    """
    admission = Admission(AdmissionSettings(slots=4))
    admission.cold.set_rate(rate)
    admission.cold.on_report(3.0, 0.0)
    cold_until = 3.0
    back_at = 0.0
    running = []
    starts = []
    answered = falls = arrived = 0
    now = 0.0
    while now < seconds:
        for ticket in [
            t for t in running if t.started + SERVICE * (1 + (now < cold_until)) <= now
        ]:
            running.remove(ticket)
            answered += now >= seconds - 5.0
            running += admission.finish(ticket, now, worked=True)
        running += admission.admit(now)
        while arrived < now * DEMAND:
            arrived += 1
            found = admission.arrive(call(now, 0.3), now)
            if not isinstance(found, NotRun) and found.started is not None:
                running.append(found)
        starts += [t.started for t in running if t.started == now]
        in_a_second = sum(start > now - 1.0 for start in starts)
        if back_at <= now < cold_until and in_a_second > FALLS_AT:
            falls += 1
            back_at = now + DOWN
            cold_until = back_at + 3.0
            lost, running = running, []
            for ticket in lost:
                running += admission.finish(ticket, now, worked=False)
            starts.clear()
            admission.cold.on_report(cold_until - now, now)
        now = round(now + 0.005, 3)
    return falls, answered


def test_a_cold_server_that_is_pressed_falls_again_and_again_unless_it_has_turns():
    falls, answered = falls_of_a_cold_server(None, 20.0)
    assert falls >= 5
    held_falls, held_answered = falls_of_a_cold_server(RATE, 20.0)
    assert held_falls == 0 and held_answered > answered
    assert held_answered >= 0.9 * 5.0 * DEMAND


def test_what_waits_for_a_turn_starts_when_the_server_turns_out_to_be_warm():
    async def scenario():
        gate = Gate(Admission(AdmissionSettings(slots=20)), View(), lambda: 0.0)
        gate.admission.cold.set_rate(RATE)
        gate.admission.cold.assume_cold(0.0)
        for _ in range(int(RATE.burst)):
            await gate.start_call(call(), UNLIMITED)
        waiting = asyncio.create_task(gate.start_call(call(), UNLIMITED))
        await asyncio.sleep(0)
        assert not waiting.done()
        gate.update_cold_state(0.0)
        await asyncio.sleep(0)
        assert waiting.done() and waiting.result().started == 0.0

    run(scenario)
