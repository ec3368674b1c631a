"""How long a caller has waited, from what is left of its deadline."""

from wheatslip.callerwait import DEADLINE_WINDOW_SECONDS, MAX_ROUTES, CallerWait


def test_a_first_attempt_has_not_waited():
    caller_wait = CallerWait()
    assert caller_wait.elapsed_wait("view", 1.0, 0.0) == 0.0
    assert caller_wait.elapsed_wait("view", 0.998, 0.1) == 0.0


def test_a_caller_that_comes_back_has_waited_for_what_is_missing():
    caller_wait = CallerWait()
    caller_wait.elapsed_wait("view", 1.0, 0.0)
    assert abs(caller_wait.elapsed_wait("view", 0.7, 0.3) - 0.3) < 1e-9
    assert caller_wait.elapsed_wait("submit", 0.7, 0.3) == 0.0


def test_shorter_deadlines_are_the_usual_ones_after_two_windows():
    caller_wait = CallerWait()
    caller_wait.elapsed_wait("view", 1.0, 0.0)
    assert caller_wait.elapsed_wait("view", 0.5, DEADLINE_WINDOW_SECONDS) > 0
    assert caller_wait.elapsed_wait("view", 0.5, 2 * DEADLINE_WINDOW_SECONDS + 1) == 0.0


def test_routes_are_bounded():
    caller_wait = CallerWait()
    for number in range(MAX_ROUTES + 5):
        caller_wait.elapsed_wait(str(number), 1.0, 0.0)
    assert len(caller_wait._routes) == MAX_ROUTES
