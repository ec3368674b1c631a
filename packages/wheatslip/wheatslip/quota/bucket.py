"""A token bucket whose rate and size may change."""

import math
from dataclasses import dataclass

MIN_BURST = 1.0  # a smaller bucket could never grant a whole token
ROUNDING = 1e-9  # tokens; sums of refills fall short of whole tokens by rounding errors


@dataclass(slots=True)
class TokenBucket:
    """Refills by `rate` tokens a second and holds at most `burst`, at least 1.

    `level` is the number of tokens at `now`. Times are in seconds, monotonic.
    """

    rate: float
    burst: float
    level: float
    now: float

    def __post_init__(self) -> None:
        self.burst = max(MIN_BURST, self.burst)
        self.level = min(self.level, self.burst)

    def take(self, count: int, now: float) -> int:
        """Takes up to `count` whole tokens and returns how many."""
        self._refill(now)
        granted = max(0, min(count, math.floor(self.level + ROUNDING)))
        self.level -= granted
        return granted

    def wait(self, now: float) -> float:
        """Seconds until there is a whole token; infinite if the bucket is never refilled."""
        self._refill(now)
        missing = 1.0 - self.level
        if missing <= ROUNDING:
            return 0.0
        return missing / self.rate if self.rate > 0 else math.inf

    def change(self, rate: float, burst: float, now: float) -> None:
        """Refills by the old rate until `now` and cuts the level to the new burst."""
        self._refill(now)
        self.rate = rate
        self.burst = max(MIN_BURST, burst)
        self.level = min(self.level, self.burst)

    def level_at(self, time: float) -> float:
        """The number of tokens at a time that is not before `now`."""
        return min(self.burst, self.level + self.rate * (time - self.now))

    def is_full(self, now: float) -> bool:
        self._refill(now)
        return self.level >= self.burst

    def _refill(self, now: float) -> None:
        if now > self.now:
            self.level = self.level_at(now)
            self.now = now
