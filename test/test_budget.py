"""The budget of repeated sends over all daemons, counted in any sliding window."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from wheatslip.budget import FleetBudget, RetryBudgets

WINDOW = 10.0


def budgets(share=0.2, reserve=58.0, members=1, started=-100.0):
    bound = FleetBudget(share, reserve, WINDOW)
    return RetryBudgets(fleet=bound, members=lambda: members, started=started)


@given(st.integers(1, 15), st.integers(0, 1000), st.floats(0.0, 60.0))
@settings(max_examples=40, derandomize=True, deadline=None)
def test_all_daemons_together_stay_within_the_bound_in_any_window(members, seed, rate):
    rng = Random(seed)
    daemons = [budgets(members=members) for _ in range(members)]
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
        end = start + WINDOW
        spent = sum(start <= t < end for t in retries)
        # The requests may stand in the window before, of which the rule takes the larger.
        asked = max(
            sum(begin <= t < begin + WINDOW for t in requests)
            for begin in (start, start - WINDOW / 2, start - WINDOW)
        )
        assert spent <= 0.2 * asked + 58.0


def test_the_reserve_is_shared_among_the_members():
    budget = budgets(share=0.0, reserve=58.0, members=13).of("w", "papers", 0.0)
    assert sum(budget.take() for _ in range(100)) == 4


def test_a_daemon_that_has_just_started_has_no_reserve_for_a_window():
    one = budgets(share=0.0, started=0.0)
    assert not one.of("w", "papers", 9.0).take()
    assert one.of("w", "papers", 11.0).take()


def test_what_was_spent_comes_back_after_the_window():
    one = budgets(share=0.0, reserve=2.0)
    assert [one.of("w", "papers", 0.0).take() for _ in range(3)] == [True, True, False]
    assert not one.of("w", "papers", 9.9).take()
    assert one.of("w", "papers", 11.0).take()


def test_services_have_budgets_of_their_own():
    one = budgets(share=0.0, reserve=1.0)
    assert one.of("w", "papers", 0.0).take()
    assert one.of("w", "rolls", 0.0).take()
    assert not one.of("other", "papers", 0.0).take()
