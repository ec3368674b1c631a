"""The token bucket of workspace limits."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wheatslip.quota.bucket import TokenBucket

ROUNDING = 1e-6
rates = st.floats(0.0, 500.0)
bursts = st.floats(0.0, 100.0)
steps = st.tuples(st.floats(0.0, 3.0), st.integers(0, 200))  # seconds later, tokens asked for


@given(rates, bursts, st.floats(0.0, 100.0), st.lists(steps, max_size=30))
def test_it_grants_at_most_its_level_and_refill(rate, burst, level, taken):
    """Guards against tokens above the rate, in any order of requests."""
    bucket = TokenBucket(rate, burst, level, 0.0)
    now = 0.0
    grants = []
    for seconds, count in taken:
        now += seconds
        granted = bucket.take(count, now)
        assert 0 <= granted <= count
        grants.append((now, granted))
    size = max(1.0, burst)
    assert sum(g for _, g in grants) <= min(level, size) + rate * now + ROUNDING
    for index, (start, _) in enumerate(grants):
        for end_index in range(index, len(grants)):
            total = sum(g for _, g in grants[index : end_index + 1])
            assert total <= size + rate * (grants[end_index][0] - start) + ROUNDING


@given(st.floats(0.01, 500.0), bursts, st.integers(0, 100))
def test_a_token_is_there_after_the_wait(rate, burst, count):
    """Guards against callers that are told a time at which they are refused again."""
    bucket = TokenBucket(rate, burst, burst, 0.0)
    bucket.take(count, 0.0)
    wait = bucket.wait(0.0)
    assert bucket.take(1, wait) == 1


def test_a_bucket_that_never_refills_has_an_infinite_wait():
    assert TokenBucket(0.0, 5.0, 0.5, 0.0).wait(10.0) == math.inf


@pytest.mark.parametrize(("burst", "left"), [(3.0, 3), (0.0, 1)])
def test_a_smaller_burst_cuts_the_level_to_at_least_one_token(burst, left):
    """Guards against tokens of the former limit, and against a limit that grants nothing."""
    bucket = TokenBucket(1.0, 50.0, 50.0, 0.0)
    bucket.change(1.0, burst, 0.0)
    assert bucket.take(50, 0.0) == left


def test_a_change_of_the_rate_keeps_the_refill_until_then():
    bucket = TokenBucket(10.0, 100.0, 0.0, 0.0)
    bucket.change(0.0, 100.0, 1.0)
    assert bucket.take(100, 5.0) == 10


def test_an_earlier_time_changes_nothing():
    bucket = TokenBucket(10.0, 100.0, 5.0, 10.0)
    assert bucket.take(10, 1.0) == 5
    assert bucket.take(10, 11.0) == 10
