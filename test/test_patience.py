"""How long a caller has waited, from what is left of its deadline."""

from wheatslip.patience import MAX_ROUTES, WINDOW, Patience


def test_a_first_attempt_has_not_waited():
    patience = Patience()
    assert patience.waited("view", 1.0, 0.0) == 0.0
    assert patience.waited("view", 0.998, 0.1) == 0.0


def test_a_caller_that_comes_back_has_waited_for_what_is_missing():
    patience = Patience()
    patience.waited("view", 1.0, 0.0)
    assert abs(patience.waited("view", 0.7, 0.3) - 0.3) < 1e-9
    assert patience.waited("submit", 0.7, 0.3) == 0.0


def test_shorter_deadlines_are_the_usual_ones_after_two_windows():
    patience = Patience()
    patience.waited("view", 1.0, 0.0)
    assert patience.waited("view", 0.5, WINDOW) > 0
    assert patience.waited("view", 0.5, 2 * WINDOW + 1) == 0.0


def test_routes_are_bounded():
    patience = Patience()
    for number in range(MAX_ROUTES + 5):
        patience.waited(str(number), 1.0, 0.0)
    assert len(patience._routes) == MAX_ROUTES
