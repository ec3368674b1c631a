"""Estimates how long a caller has already waited from the deadline that it sends.

A caller that retries after a refusal sends the time left until its deadline. Callers of one
route usually start with the same deadline, so the difference to the longest recent one is the
time since the caller's first attempt. All durations are in seconds.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

# The longest deadline of a route is taken from the current and the previous window. A shorter
# window loses it in a pause between first attempts; a longer one overestimates waits for longer
# after callers have begun to send shorter deadlines.
DEADLINE_WINDOW_SECONDS = 10.0
MAX_ROUTES = 10_000  # limits memory; the oldest route is evicted
# Of the longest deadline, for a first attempt; below 1, since writing a request takes time.
FIRST_ATTEMPT_SHARE = 0.97


@dataclass(slots=True)
class _LongestDeadlines:
    """Longest deadlines of the current window, which starts at `since`, and of the last one."""

    since: float
    current: float = 0.0
    previous: float = 0.0


@dataclass(slots=True)
class CallerWait:
    """Estimates elapsed waits from the longest deadline of each route."""

    _routes: OrderedDict[str, _LongestDeadlines] = field(default_factory=OrderedDict)

    def elapsed_wait(self, route: str, remaining: float, now: float) -> float:
        """Returns the seconds since the first attempt of a caller whose deadline is `remaining`
        seconds away; 0 for a first attempt.
        """
        deadlines = self._routes.get(route)
        if deadlines is None:
            deadlines = self._routes[route] = _LongestDeadlines(now)
            if len(self._routes) > MAX_ROUTES:
                self._routes.popitem(last=False)
        if now - deadlines.since >= DEADLINE_WINDOW_SECONDS:
            deadlines.previous = deadlines.current
            deadlines.current = 0.0
            deadlines.since = now
        deadlines.current = max(deadlines.current, remaining)
        longest_deadline = max(deadlines.current, deadlines.previous)
        return (
            0.0
            if remaining >= FIRST_ATTEMPT_SHARE * longest_deadline
            else longest_deadline - remaining
        )
