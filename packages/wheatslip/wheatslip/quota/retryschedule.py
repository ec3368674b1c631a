"""When a refused caller should retry, given those that were refused before it."""

from dataclasses import dataclass

# Refused callers may never return, so that the time for the next one is not certain.
MAX_RETRY_AFTER_SECONDS = 10.0


@dataclass(slots=True)
class RetrySchedule:
    """Reserves one token for each refused request. Times in seconds, monotonic."""

    _reserved_until: float = float("-inf")

    def retry_after(self, wait: float, refused: int, rate: float, now: float) -> float:
        """Records `refused` requests and returns the seconds until the first of them gets a
        token.

        The next token comes in `wait` seconds, and those that were refused before take `rate`
        tokens a second. Since each refusal puts the next one later, callers do not return
        together.
        """
        start = max(now + wait, self._reserved_until)
        start = min(start, now + MAX_RETRY_AFTER_SECONDS)
        self._reserved_until = start + (refused / rate if rate > 0 else 0.0)
        return start - now
