"""The retry budget of all daemons together, counted in any sliding window."""

from random import Random

from hypothesis import example, given, settings
from hypothesis import strategies as st
from wheatslip.budget import FleetBudget, RetryBudgets

WINDOW_SECONDS = 10.0


def make_budgets(share=0.2, reserve=58.0, members=1, started=-100.0):
    fleet_budget = FleetBudget(share, reserve, WINDOW_SECONDS)
    return RetryBudgets(fleet=fleet_budget, members=lambda: members, started=started)


@given(st.integers(1, 15), st.integers(0, 1000), st.floats(0.0, 60.0))
@example(members=1, seed=0, rate=8.5)
@settings(max_examples=40, derandomize=True, deadline=None)
def test_all_daemons_together_stay_within_the_budget_in_any_window(members, seed, rate):
    rng = Random(seed)
    daemons = [make_budgets(members=members) for _ in range(members)]
    requests, retries = [], []
    now = 0.0
    while now < 25.0 and rate > 0.1:
        now += rng.expovariate(rate)
        budget = rng.choice(daemons).of("w", "papers", now)
        budget.on_request()
        requests.append(now)
        if budget.take():
            retries.append(now)
    for start in retries:
        end = start + WINDOW_SECONDS
        retry_count = sum(start <= t < end for t in retries)
        # A retry is limited by the requests before it, so earlier windows count as well.
        request_count = max(
            sum(begin <= t < begin + WINDOW_SECONDS for t in requests)
            for begin in (start, start - WINDOW_SECONDS / 2, start - WINDOW_SECONDS)
        )
        assert retry_count <= 0.2 * request_count + 58.0


def test_the_reserve_is_shared_among_the_members():
    budget = make_budgets(share=0.0, reserve=58.0, members=13).of("w", "papers", 0.0)
    assert sum(budget.take() for _ in range(100)) == 4


def test_daemon_has_no_reserve_for_one_window_after_its_start():
    budgets = make_budgets(share=0.0, started=0.0)
    assert not budgets.of("w", "papers", 9.0).take()
    assert budgets.of("w", "papers", 11.0).take()


def test_spent_tokens_return_after_the_window():
    budgets = make_budgets(share=0.0, reserve=2.0)
    assert [budgets.of("w", "papers", 0.0).take() for _ in range(3)] == [True, True, False]
    assert not budgets.of("w", "papers", 9.9).take()
    assert budgets.of("w", "papers", 11.0).take()


def test_each_service_has_its_own_budget():
    budgets = make_budgets(share=0.0, reserve=1.0)
    assert budgets.of("w", "papers", 0.0).take()
    assert budgets.of("w", "rolls", 0.0).take()
    assert not budgets.of("other", "papers", 0.0).take()


def test_fewer_requests_after_a_burst_of_retries_do_not_break_the_budget():
    budgets = make_budgets(share=0.2, reserve=2.0)
    for number in range(90):
        budgets.of("w", "papers", number / 10).on_request()
    taken_at = [9.0 + n / 100 for n in range(30) if budgets.of("w", "papers", 9.0).take()]
    taken_at += [
        now
        for now in (9.5 + n / 10 for n in range(100))
        if budgets.of("w", "papers", now).take()
    ]
    for start in taken_at:
        retry_count = sum(start <= at < start + WINDOW_SECONDS for at in taken_at)
        # All requests came between 0 and 9 s.
        assert retry_count <= 0.2 * 90 + 2.0
