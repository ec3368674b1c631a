"""A bound on how often something is done in any sliding second. Pure code."""

from collections import deque
from dataclasses import dataclass, field

WINDOW = 1.0  # seconds; bounds are given per second


@dataclass(slots=True)
class SlidingLimit:
    """Allows at most `per_second` in each second, wherever that second begins."""

    per_second: float
    _taken: deque[float] = field(default_factory=deque)

    def take(self, now: float) -> bool:
        """Whether it may be done now; counts it if so. `now` in seconds, monotonic."""
        while self._taken and now - self._taken[0] >= WINDOW:
            self._taken.popleft()
        if len(self._taken) + 1 > self.per_second:
            return False
        self._taken.append(now)
        return True
