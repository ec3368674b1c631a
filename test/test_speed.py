"""What a gate thinks of its server's speed, and when it is worth asking for it."""

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


def switching(model, fast, slow, factor, every=0.03, seconds=120.0, seed=1):
    """Tell a model the speed of a server that switches; the moment of the last telling."""
    rng = Random(seed)
    now = 0.0
    is_slow = False
    ends = rng.expovariate(1 / fast)
    while now < seconds:
        now += rng.expovariate(1 / every)
        while now >= ends:
            is_slow = not is_slow
            ends += rng.expovariate(1 / (slow if is_slow else fast))
        model.on_report(factor if is_slow else 1.0, now)
    return now


def taught(kinds, now=0.0):
    """A gate with four slots whose server was just told fast; `kinds` have their seconds."""
    admission = Admission(AdmissionSettings(slots=4))
    for kind, took in kinds.items():
        ticket = admission.arrive(Call("w", "s", kind, 10.0), now)
        admission.finish(ticket, now + took, worked=True)
    return admission


def call(kind=VIEW, target=0.6, deadline=2.0, now=0.0):
    return Call("w", "s", kind, now + deadline, target=now + target, hold_until=now + 0.1)


def test_a_word_on_the_speed_ages_to_the_part_of_the_time_that_the_server_is_slow():
    model = SpeedModel()
    end = switching(model, fast=0.6, slow=0.2, factor=5.0)
    model.on_report(1.0, end)
    assert model.slow_probability(end) == pytest.approx(0.0)
    assert model.slow_probability(end + 0.05) < model.slow_probability(end + 0.2) < 0.35
    assert model.slow_probability(end + 10.0) == pytest.approx(0.25, abs=0.08)
    model.on_report(5.0, end)
    assert model.slow_probability(end) == pytest.approx(1.0)
    assert model.mean_slow_period_seconds == pytest.approx(0.2, rel=0.4)
    assert model.slow_factor == pytest.approx(5.0, rel=0.05)


def test_longer_stretches_make_a_word_good_for_longer():
    short, long = SpeedModel(), SpeedModel()
    ends = [switching(short, 0.6, 0.2, 4.0), switching(long, 2.4, 0.8, 4.0)]
    for model, end in zip((short, long), ends, strict=True):
        model.on_report(1.0, end)
    chances = [
        m.slow_probability(end + 0.05) for m, end in zip((short, long), ends, strict=True)
    ]
    assert chances[1] < 0.5 * chances[0]


def test_a_server_that_never_turns_slow_is_soon_thought_to_stay_fast():
    model = SpeedModel()
    for tick in range(1, 600):
        model.on_report(1.0, tick / 20)
    assert model.slow_probability(30.0 + 0.1) < 0.01


def test_tellings_far_apart_teach_nothing_of_the_stretches():
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
def test_a_chance_is_one_whatever_was_told(tellings, later):
    model = SpeedModel()
    now = 0.0
    for gap, slowness in tellings:
        now += gap
        model.on_report(slowness, now)
    assert 0.0 <= model.slow_probability(now + later) <= 1.0
    assert model.mean_slow_period_seconds > 0


def test_asking_gains_with_the_age_of_the_last_word():
    admission = taught({VIEW: 0.2})
    admission.timing.learn_speed(1.0, 1.0)
    gains = [admission.gain_of_probing(call(now=now), now) for now in (1.0, 1.02, 1.2)]
    assert gains[0] == 0.0
    assert 0.0 < gains[1] < gains[2] < 1.0


def test_asking_gains_nothing_for_work_that_meets_its_target_on_a_slow_server_too():
    admission = taught({VIEW: 0.2, SHORT: 0.02})
    admission.timing.learn_speed(1.0, 1.0)
    assert admission.gain_of_probing(call(SHORT, now=1.5), 1.5) == 0.0
    assert admission.gain_of_probing(call(VIEW, now=1.5), 1.5) > 0.0


def test_asking_gains_nothing_for_work_that_is_late_anyway():
    admission = taught({VIEW: 0.2})
    admission.timing.learn_speed(1.0, 1.0)
    assert admission.gain_of_probing(call(target=0.1, now=1.5), 1.5) == 0.0


def test_asking_gains_nothing_for_what_has_to_wait_or_to_go():
    admission = taught({VIEW: 0.2})
    admission.timing.learn_speed(1.0, 0.5)
    running = [admission.arrive(call(now=0.9), 0.9) for _ in range(4)]
    assert admission.gain_of_probing(call(now=1.0), 1.0) == 0.0
    admission.finish(running[0], 1.0, worked=False)
    assert admission.gain_of_probing(call(now=1.0), 1.0) > 0.0
    for reason in (ClosedBy.SERVER_LEAVES, ClosedBy.SERVER_LOST, ClosedBy.SERVER_UNKNOWN):
        admission.closures.add(reason)
        assert admission.gain_of_probing(call(now=1.0), 1.0) == 0.0
        admission.closures.remove(reason)


def test_asking_a_server_told_slow_gains_at_most_what_a_refusal_costs():
    admission = taught({VIEW: 0.2})
    admission.timing.learn_speed(5.0, 1.0)
    assert admission.gain_of_probing(call(now=1.0), 1.0) == pytest.approx(0.0)
    later = admission.gain_of_probing(call(now=1.5), 1.5)
    assert 0.0 < later <= NEEDLESS_REFUSAL_COST


def test_of_a_new_server_nothing_is_known_so_asking_gains_most():
    admission = taught({VIEW: 0.2})
    admission.timing.learn_speed(1.0, 1.0)
    admission.timing.reset_speed()
    fresh = admission.gain_of_probing(call(now=1.01), 1.01)
    admission.timing.learn_speed(1.0, 1.0)
    assert fresh > admission.gain_of_probing(call(now=1.01), 1.01)


@settings(derandomize=True)
@given(st.lists(st.floats(0, 0.3), min_size=1, max_size=200), st.integers(1, 20))
def test_no_sliding_second_has_more_than_its_bound(gaps, bound):
    limit = SlidingLimit(bound)
    taken = []
    now = 0.0
    for gap in gaps:
        now += gap
        if limit.take(now):
            taken.append(now)
    for start in taken:
        assert sum(start <= moment < start + 1.0 for moment in taken) <= bound
    assert taken


def test_a_server_that_stays_slow_has_a_slower_pace_and_is_not_waited_out():
    """One that has just started works at half its speed, and has slow spells besides."""
    admission = taught({VIEW: 0.2})
    for tick in range(20):
        admission.timing.learn_speed(2.0, 1.0 + tick * 0.05)
    now = 2.0
    assert admission.timing.speed.base_slowness == 2.0
    late = call(target=0.3, now=now)  # it can't be in time at this pace, and waiting won't help
    assert admission.arrive(late, now).started is not None
    admission.timing.learn_speed(10.0, now)
    in_time = call(target=0.6, now=now)
    assert admission.arrive(in_time, now).started is None  # the stretch will be over soon


def test_the_gain_of_asking_counts_from_the_pace_of_the_server():
    admission = taught({VIEW: 0.2})
    for tick in range(20):
        admission.timing.learn_speed(2.0, 1.0 + tick * 0.05)
    assert admission.gain_of_probing(call(now=2.2), 2.2) > 0.05


def test_a_pace_is_forgotten_once_the_server_is_faster():
    model = SpeedModel()
    for tick in range(20):
        model.on_report(2.0, tick * 0.05)
    assert model.base_slowness == 2.0
    model.on_report(1.0, 1.0)
    assert model.base_slowness == 1.0
