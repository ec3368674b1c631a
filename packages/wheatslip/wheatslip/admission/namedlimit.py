"""The rate of requests that a backend server in need names as its limit.

The rate counts for all daemons together. All requests to the server go through its gate, so the
gate keeps the sum. A restart of the daemon forgets the earlier starts, therefore only one
request starts at once when a limit becomes known.
"""

from collections import deque
from dataclasses import dataclass, field

from wheatslip.admission.pacing import Pace, PacedStarts

# A server gets at least this, so that it has occasion to change or end its limit.
MIN_RATE_PER_SECOND = 0.25
# Requests that may start at once, beside one: those of this time at the named rate.
BURST_SECONDS = 0.5
REFUSALS_WINDOW_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 10.0


@dataclass(slots=True)
class NamedLimit:
    """Spaces the starts at one server while it names a rate. Times in seconds, monotonic."""

    _pace: Pace | None = None  # None: no limit
    _starts: PacedStarts = field(default_factory=PacedStarts)
    _refused_at: deque[float] = field(default_factory=deque)

    @property
    def rate(self) -> float | None:
        """Requests per second that may start; None: no limit."""
        return None if self._pace is None else self._pace.per_second

    def set_rate(self, rate: float | None, now: float) -> None:
        """Applies a named rate in requests per second; None ends the limit."""
        pace = None if rate is None else _pace(rate)
        if pace is not None and self._pace is None:
            self._starts.restart(pace, now)
        elif pace is not None and self._pace is not None:
            self._starts.change_pace(self._pace, pace, now)
        self._pace = pace

    def wait(self, ahead: int, now: float) -> float:
        """Returns the seconds until a request with `ahead` others before it may start."""
        pace = self._pace
        if pace is None:
            return 0.0
        return max(0.0, self._starts.earliest(pace) - now) + ahead * pace.spacing

    def on_start(self, now: float) -> None:
        if self._pace is not None:
            self._starts.on_start(self._pace, now)

    def retry_after(self, wait: float, now: float) -> float:
        """Returns when a caller should come back that is refused now instead of waiting `wait`
        seconds, considering the callers that were refused shortly before.
        """
        pace = self._pace
        if pace is None:
            return wait
        while self._refused_at and now - self._refused_at[0] >= REFUSALS_WINDOW_SECONDS:
            self._refused_at.popleft()
        ahead = len(self._refused_at)
        self._refused_at.append(now)
        return min(MAX_RETRY_AFTER_SECONDS, wait + ahead * pace.spacing)


def _pace(rate: float) -> Pace:
    per_second = max(MIN_RATE_PER_SECOND, rate)
    return Pace(per_second, 1.0 + BURST_SECONDS * per_second)
