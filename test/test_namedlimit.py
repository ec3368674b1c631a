"""Rate limit that a server names: the decisions of one gate, without I/O."""

from random import Random

import pytest
from result import Err, Ok
from wheatslip.admission import Admission, AdmissionSettings
from wheatslip.admission.namedlimit import MAX_RETRY_AFTER_SECONDS, NamedLimit
from wheatslip.call import UNLIMITED, Call, RequestKind
from wheatslip.outcome import NotRun
from wheatslip.servernotice import decode_leaving, decode_rate

from test.test_named_limits import allowed, most_in_a_window

KIND = RequestKind("view", True)
DEADLINE_SECONDS = 10.0


def call(now=0.0):
    return Call("alpha", "papers", KIND, now + DEADLINE_SECONDS)


def starts_of(limits, seconds, *, step=0.01):
    """Start times when requests come in every step; `limits` has the daemon's lives in turn,
    each with the time at which it ends.
    """
    starts = []
    now = 0.0
    for limit, until in limits:
        while now < min(until, seconds):
            if limit.wait(0, now) <= 0:
                limit.on_start(now)
                starts.append(now)
            now += step
    return starts


def named(rate, now=0.0):
    limit = NamedLimit()
    limit.set_rate(rate, now)
    return limit


@pytest.mark.parametrize("rate", [0.1, 0.5, 2.5, 8.1, 40.0])
def test_any_window_holds_the_limit_through_restarts_of_the_daemon(rate):
    for seed in range(20):
        rng = Random(seed)
        ends = sorted(rng.uniform(0, 12) for _ in range(3))
        lives = [
            (named(rate, start), end)
            for start, end in zip([0, *ends], [*ends, 12.0], strict=True)
        ]
        starts = starts_of(lives, 12.0)
        assert most_in_a_window(starts) <= allowed(rate), (rate, seed)
        assert len(starts) >= 0.9 * rate * 12.0 - 4


def test_full_burst_beside_a_new_window_does_not_double_the_limit():
    limit = named(8.0)
    for _ in range(3):
        limit.on_start(0.0)
    starts = [at + 10.0 for at in starts_of([(limit, 10.0)], 10.0)]
    assert most_in_a_window(starts, 1.0) <= 8.0 + 0.5 * 8.0 + 1


def test_lowered_limit_applies_to_what_was_started_ahead():
    limit = named(20.0)
    now = 5.0
    while limit.wait(0, now) <= 0:
        limit.on_start(now)
    limit.set_rate(1.0, now)
    starts = [at for at in starts_of([(limit, 15.0)], 15.0) if at >= now]
    assert most_in_a_window(starts) <= allowed(1.0)


def test_requests_that_wait_when_a_limit_is_named_are_refused_or_spaced():
    admission = Admission(AdmissionSettings(slots=1))
    running = admission.arrive(call(), 0.0)
    waiting = [admission.arrive(call(), 0.0) for _ in range(20)]
    assert not any(isinstance(ticket, NotRun) for ticket in waiting)
    refused = admission.limit_rate(1.0, 0.0)
    # The deadline is 10 s away: at one a second, about ten can be served.
    assert 8 <= len(refused) <= 12
    assert all(entry.refusal.retry_after >= 5.0 for entry in refused)
    started = admission.finish(running, 0.1, worked=True)
    assert len(started) <= 1


def test_refused_callers_come_back_at_the_rate_of_the_server():
    admission = Admission(AdmissionSettings(slots=100))
    admission.limit_rate(4.0, 0.0)
    waits = []
    for _ in range(40):
        soon = Call("alpha", "papers", KIND, 0.001)
        outcome = admission.arrive(soon, 0.0, UNLIMITED)
        if isinstance(outcome, NotRun):
            waits.append(outcome.retry_after)
    assert waits[-1] - waits[0] == pytest.approx((len(waits) - 1) / 4.0)
    assert max(waits) <= MAX_RETRY_AFTER_SECONDS


@pytest.mark.parametrize(
    ("values", "rate"),
    [([], None), ([b"8.1"], 8.1), ([b" 2 "], 2.0), ([b".5"], 0.5), ([b"1000000000"], 1e9)],
)
def test_named_rates_are_decimal_numbers(values, rate):
    assert decode_rate(values) == Ok(rate)


@pytest.mark.parametrize(
    "text",
    [b"0", b"0.0", b"-1", b"nan", b"inf", b"1e9", b"", b"8.1/s", b"8,1", b"8.1, 9", b"9" * 99],
)
def test_invalid_rates_are_not_believed(text):
    assert isinstance(decode_rate([text]), Err)


def test_two_values_in_one_response_are_not_believed():
    assert isinstance(decode_rate([b"8.1", b"9"]), Err)
    assert isinstance(decode_leaving([b"1", b"1"]), Err)


def test_leaving_is_0_or_1():
    assert decode_leaving([]) == Ok(False)
    assert decode_leaving([b"1"]) == Ok(True)
    assert decode_leaving([b"0"]) == Ok(False)
    assert isinstance(decode_leaving([b"yes"]), Err)
