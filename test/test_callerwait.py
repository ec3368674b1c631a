"""How long a caller has waited, derived from the time left to its deadline."""

from wheatslip.callerwait import DEADLINE_WINDOW_SECONDS, MAX_ROUTES, CallerWait


def test_a_first_attempt_has_not_waited():
    caller_wait = CallerWait()
    assert caller_wait.elapsed_wait("view", 1.0, 0.0) == 0.0
    assert caller_wait.elapsed_wait("view", 0.998, 0.1) == 0.0


def test_retry_has_waited_for_the_time_missing_from_its_deadline():
    caller_wait = CallerWait()
    caller_wait.elapsed_wait("view", 1.0, 0.0)
    assert abs(caller_wait.elapsed_wait("view", 0.7, 0.3) - 0.3) < 1e-9
    assert caller_wait.elapsed_wait("submit", 0.7, 0.3) == 0.0


def test_shorter_deadline_counts_as_usual_after_two_windows():
    caller_wait = CallerWait()
    caller_wait.elapsed_wait("view", 1.0, 0.0)
    assert caller_wait.elapsed_wait("view", 0.5, DEADLINE_WINDOW_SECONDS) > 0
    assert caller_wait.elapsed_wait("view", 0.5, 2 * DEADLINE_WINDOW_SECONDS + 1) == 0.0


def test_number_of_remembered_routes_is_bounded():
    caller_wait = CallerWait()
    for number in range(MAX_ROUTES + 5):
        caller_wait.elapsed_wait(str(number), 1.0, 0.0)
    assert len(caller_wait._routes) == MAX_ROUTES
