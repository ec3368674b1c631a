"""When a refused caller should retry, given those that were refused shortly before it."""

from collections import deque
from dataclasses import dataclass, field

REFUSALS_WINDOW_SECONDS = 1.0  # those refused earlier have retried or given up
MAX_RETRY_AFTER_SECONDS = 10.0


@dataclass(slots=True)
class Shortage:
    """Requests of one workspace that were refused lately. Times in seconds, monotonic."""

    _refused: deque[tuple[float, int]] = field(default_factory=deque)
    _count: int = 0

    def retry_after(self, wait: float, refused: int, rate: float, now: float) -> float:
        """Records `refused` requests and returns the seconds until the first of them gets a
        token.

        The next token comes in `wait` seconds, and those that were refused before take `rate`
        tokens a second. Since each refusal puts the next one later, callers do not return
        together.
        """
        while self._refused and now - self._refused[0][0] >= REFUSALS_WINDOW_SECONDS:
            self._count -= self._refused.popleft()[1]
        ahead = self._count
        self._refused.append((now, refused))
        self._count += refused
        if rate <= 0:
            return min(MAX_RETRY_AFTER_SECONDS, wait)
        return min(MAX_RETRY_AFTER_SECONDS, wait + ahead / rate)
