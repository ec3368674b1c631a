"""A rate limit over a sliding window of one second. Has no I/O and no clock of its own."""

from collections import deque
from dataclasses import dataclass, field

WINDOW_SECONDS = 1.0


@dataclass(slots=True)
class SlidingLimit:
    """Allows at most `per_second` events in any window of one second."""

    per_second: float
    _event_times: deque[float] = field(default_factory=deque)

    def take(self, now: float) -> bool:
        """Returns whether an event is allowed at `now` (seconds, monotonic), and records it if
        so.
        """
        while self._event_times and now - self._event_times[0] >= WINDOW_SECONDS:
            self._event_times.popleft()
        if len(self._event_times) + 1 > self.per_second:
            return False
        self._event_times.append(now)
        return True
