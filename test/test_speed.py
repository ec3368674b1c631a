"""Estimates of a backend server's speed, and the benefit of probing the server."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wheatslip.admission import NEEDLESS_REFUSAL_COST, Admission, AdmissionSettings, ClosedBy
from wheatslip.call import Call, RequestKind
from wheatslip.slidinglimit import SlidingLimit
from wheatslip.speed import SpeedModel

VIEW = RequestKind("view", repeatable=True)
SHORT = RequestKind("short", repeatable=True)


def report_switching_speed(
    model, fast_seconds, slow_seconds, slow_factor, mean_interval=0.03, seconds=120.0, seed=1
):
    """Reports the speed of a server that becomes slow and fast in turn, for mean times of
    `slow_seconds` and `fast_seconds`. Returns the time of the last report.
    """
    rng = Random(seed)
    now = 0.0
    is_slow = False
    period_end = rng.expovariate(1 / fast_seconds)
    while now < seconds:
        now += rng.expovariate(1 / mean_interval)
        while now >= period_end:
            is_slow = not is_slow
            period_end += rng.expovariate(1 / (slow_seconds if is_slow else fast_seconds))
        model.on_report(slow_factor if is_slow else 1.0, now)
    return now


def make_admission(service_times, now=0.0):
    """A gate with four slots that has measured `service_times`, in seconds by kind."""
    admission = Admission(AdmissionSettings(slots=4))
    for kind, service_time in service_times.items():
        ticket = admission.arrive(Call("w", "s", kind, 10.0), now)
        admission.finish(ticket, now + service_time, worked=True)
    return admission


def make_call(kind=VIEW, target=0.6, deadline=2.0, now=0.0):
    return Call("w", "s", kind, now + deadline, target=now + target, hold_until=now + 0.1)


def test_slow_probability_approaches_the_share_of_slow_time_as_the_report_ages():
    model = SpeedModel()
    end = report_switching_speed(model, fast_seconds=0.6, slow_seconds=0.2, slow_factor=5.0)
    model.on_report(1.0, end)
    assert model.slow_probability(end) == pytest.approx(0.0)
    assert model.slow_probability(end + 0.05) < model.slow_probability(end + 0.2) < 0.35
    assert model.slow_probability(end + 10.0) == pytest.approx(0.25, abs=0.08)
    model.on_report(5.0, end)
    assert model.slow_probability(end) == pytest.approx(1.0)
    assert model.mean_slow_period_seconds == pytest.approx(0.2, rel=0.4)
    assert model.slow_factor == pytest.approx(5.0, rel=0.05)


def test_report_stays_valid_for_longer_if_periods_are_longer():
    short_periods, long_periods = SpeedModel(), SpeedModel()
    end_times = [
        report_switching_speed(short_periods, 0.6, 0.2, 4.0),
        report_switching_speed(long_periods, 2.4, 0.8, 4.0),
    ]
    for model, end in zip((short_periods, long_periods), end_times, strict=True):
        model.on_report(1.0, end)
    probabilities = [
        model.slow_probability(end + 0.05)
        for model, end in zip((short_periods, long_periods), end_times, strict=True)
    ]
    assert probabilities[1] < 0.5 * probabilities[0]


def test_slow_probability_becomes_low_if_the_server_is_never_slow():
    model = SpeedModel()
    for tick in range(1, 600):
        model.on_report(1.0, tick / 20)
    assert model.slow_probability(30.0 + 0.1) < 0.01


def test_reports_far_apart_do_not_change_the_estimated_periods():
    model = SpeedModel()
    before = model.slow_probability(float("inf"))
    for second in range(100):
        model.on_report(4.0 if second % 2 else 1.0, second * 10.0)
    assert model.slow_probability(float("inf")) == pytest.approx(before)


@settings(derandomize=True)
@given(
    st.lists(st.tuples(st.floats(0, 5), st.floats(1, 20)), max_size=50),
    st.floats(0, 100),
)
def test_slow_probability_is_between_0_and_1_after_any_reports(reports, elapsed):
    model = SpeedModel()
    now = 0.0
    for gap, slowness in reports:
        now += gap
        model.on_report(slowness, now)
    assert 0.0 <= model.slow_probability(now + elapsed) <= 1.0
    assert model.mean_slow_period_seconds > 0


def test_gain_of_probing_grows_with_the_age_of_the_last_report():
    admission = make_admission({VIEW: 0.2})
    admission.timing.learn_speed(1.0, 1.0)
    gains = [admission.gain_of_probing(make_call(now=now), now) for now in (1.0, 1.02, 1.2)]
    assert gains[0] == 0.0
    assert 0.0 < gains[1] < gains[2] < 1.0


def test_no_gain_of_probing_for_a_call_that_a_slow_server_answers_in_time():
    admission = make_admission({VIEW: 0.2, SHORT: 0.02})
    admission.timing.learn_speed(1.0, 1.0)
    assert admission.gain_of_probing(make_call(SHORT, now=1.5), 1.5) == 0.0
    assert admission.gain_of_probing(make_call(VIEW, now=1.5), 1.5) > 0.0


def test_no_gain_of_probing_for_a_call_that_is_late_anyway():
    admission = make_admission({VIEW: 0.2})
    admission.timing.learn_speed(1.0, 1.0)
    assert admission.gain_of_probing(make_call(target=0.1, now=1.5), 1.5) == 0.0


def test_no_gain_of_probing_at_a_full_or_closed_gate():
    admission = make_admission({VIEW: 0.2})
    admission.timing.learn_speed(1.0, 0.5)
    running = [admission.arrive(make_call(now=0.9), 0.9) for _ in range(4)]
    assert admission.gain_of_probing(make_call(now=1.0), 1.0) == 0.0
    admission.finish(running[0], 1.0, worked=False)
    assert admission.gain_of_probing(make_call(now=1.0), 1.0) > 0.0
    for reason in (ClosedBy.SERVER_LEAVES, ClosedBy.SERVER_LOST, ClosedBy.SERVER_UNKNOWN):
        admission.closures.add(reason)
        assert admission.gain_of_probing(make_call(now=1.0), 1.0) == 0.0
        admission.closures.remove(reason)


def test_gain_of_probing_a_slow_server_is_at_most_the_cost_of_a_refusal():
    admission = make_admission({VIEW: 0.2})
    admission.timing.learn_speed(5.0, 1.0)
    assert admission.gain_of_probing(make_call(now=1.0), 1.0) == pytest.approx(0.0)
    later_gain = admission.gain_of_probing(make_call(now=1.5), 1.5)
    assert 0.0 < later_gain <= NEEDLESS_REFUSAL_COST


def test_gain_of_probing_is_larger_for_a_server_of_unknown_speed():
    admission = make_admission({VIEW: 0.2})
    admission.timing.learn_speed(1.0, 1.0)
    admission.timing.reset_speed()
    fresh = admission.gain_of_probing(make_call(now=1.01), 1.01)
    admission.timing.learn_speed(1.0, 1.0)
    assert fresh > admission.gain_of_probing(make_call(now=1.01), 1.01)


@settings(derandomize=True)
@given(st.lists(st.floats(0, 0.3), min_size=1, max_size=200), st.integers(1, 20))
def test_no_sliding_second_exceeds_the_limit(gaps, max_per_second):
    limit = SlidingLimit(max_per_second)
    taken = []
    now = 0.0
    for gap in gaps:
        now += gap
        if limit.take(now):
            taken.append(now)
    for start in taken:
        assert sum(start <= time < start + 1.0 for time in taken) <= max_per_second
    assert taken


def test_lasting_slowness_becomes_the_base_and_is_not_waited_out():
    """A server that has just started has half its usual speed, and slow periods as well."""
    admission = make_admission({VIEW: 0.2})
    for tick in range(20):
        admission.timing.learn_speed(2.0, 1.0 + tick * 0.05)
    now = 2.0
    assert admission.timing.speed.base_slowness == 2.0
    # At the base slowness the call misses its target, with or without a wait.
    late = make_call(target=0.3, now=now)
    assert admission.arrive(late, now).started is not None
    admission.timing.learn_speed(10.0, now)
    in_time = make_call(target=0.6, now=now)
    assert admission.arrive(in_time, now).started is None  # the slow period will end soon


def test_gain_of_probing_is_relative_to_the_base_slowness():
    admission = make_admission({VIEW: 0.2})
    for tick in range(20):
        admission.timing.learn_speed(2.0, 1.0 + tick * 0.05)
    assert admission.gain_of_probing(make_call(now=2.2), 2.2) > 0.05


def test_base_slowness_drops_once_the_server_is_faster():
    model = SpeedModel()
    for tick in range(20):
        model.on_report(2.0, tick * 0.05)
    assert model.base_slowness == 2.0
    model.on_report(1.0, 1.0)
    assert model.base_slowness == 1.0
