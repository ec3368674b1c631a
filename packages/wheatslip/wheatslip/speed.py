"""Whether a backend server is fast or slow now, judged from what it told a while ago.

A server that shares its machine with others turns slow and fast again in stretches, and tells
its speed only with its answers. Pure code: it learns how long such stretches last, and says how
likely it is that the last word on the speed still holds.
"""

from dataclasses import dataclass, field
from math import exp

SLOW = 1.3  # slowness from which on a server is spared what others can take
# Two tellings further apart than this (seconds) may have a whole stretch between them, so they
# say nothing of how long one lasts. Slow stretches seen so far last 0.1 to 0.4 s.
CLOSE_TELLINGS = 0.25
# Seconds of each state that are remembered; older ones count half. Some dozens of stretches.
MEMORY = 20.0
FACTOR_WEIGHT = 0.1  # of one telling in the mean slowness of slow stretches

# What is assumed of a server that has told little: its stretches' mean lengths, how slow it
# is in slow ones, and for how many seconds of telling that assumption stands.
ASSUMED_FAST_STRETCH = 1.0  # seconds
ASSUMED_SLOW_STRETCH = 0.2  # seconds
ASSUMED_FACTOR = 4.0
ASSUMED_WEIGHT = 0.5  # seconds


@dataclass(slots=True)
class _Stretches:
    """How often a state ended, and for how long it was watched."""

    ends: float
    watched: float  # seconds

    @property
    def rate(self) -> float:
        """Ends per second."""
        return self.ends / self.watched

    def observe(self, seconds: float, *, ended: bool) -> None:
        """The state was seen, and so many seconds later it had ended or not."""
        self.watched += seconds
        self.ends += ended
        if self.watched > MEMORY:
            self.watched /= 2
            self.ends /= 2


def _assumed(stretch: float) -> _Stretches:
    return _Stretches(ends=ASSUMED_WEIGHT / stretch, watched=ASSUMED_WEIGHT)


@dataclass(slots=True)
class SpeedModel:
    """One server's speed as a chain of two states, fast and slow. Times in seconds."""

    told_at: float = float("-inf")
    factor: float = ASSUMED_FACTOR  # slowness in slow stretches, mean
    _is_slow: bool = False  # the state that was told last
    _fast: _Stretches = field(default_factory=lambda: _assumed(ASSUMED_FAST_STRETCH))
    _slow: _Stretches = field(default_factory=lambda: _assumed(ASSUMED_SLOW_STRETCH))

    def told(self, slowness: float, now: float) -> None:
        """The server told its slowness."""
        is_slow = slowness >= SLOW
        since = now - self.told_at
        if 0 < since <= CLOSE_TELLINGS:
            state = self._slow if self._is_slow else self._fast
            state.observe(since, ended=is_slow != self._is_slow)
        if is_slow:
            self.factor += FACTOR_WEIGHT * (slowness - self.factor)
        self._is_slow = is_slow
        self.told_at = now

    def forget(self) -> None:
        """Another server stands here: what was told last says nothing of it."""
        self.told_at = float("-inf")

    def slow_chance(self, now: float) -> float:
        """The chance, 0 to 1, that the server is slow now."""
        to_slow, to_fast = self._fast.rate, self._slow.rate
        share = to_slow / (to_slow + to_fast)
        said = 1.0 if self._is_slow else 0.0
        age = max(0.0, now - self.told_at)
        return share + (said - share) * exp(-(to_slow + to_fast) * age)

    @property
    def slow_stretch(self) -> float:
        """Seconds that a slow stretch lasts, mean."""
        return 1.0 / max(self._slow.rate, 1e-3)
