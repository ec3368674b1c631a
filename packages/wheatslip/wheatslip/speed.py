"""Whether a backend server is fast or slow now, judged from what it told a while ago.

A server that shares its machine with others turns slow and fast again in stretches, and tells
its speed only with its answers. Pure code: it learns how long such stretches last, and says how
likely it is that the last word on the speed still holds.
"""

from collections import deque
from dataclasses import dataclass, field
from math import exp

SLOW = 1.3  # factor from which on a server is spared what others can take
USUAL = 1.0  # slowness of a server that is as fast as usual
# Seconds in which the least slowness that was told is the server's pace: what it comes back to
# after a slow stretch. One that has just started, or is in trouble, keeps a slower pace for
# seconds. Slow stretches seen so far hardly ever last as long.
PACE_MEMORY = 1.0
# Seconds of tellings, none far from the next, before they can tell a slower pace: the first
# word of a server may come from a slow stretch.
PACE_DOUBT = 0.2
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
    factor: float = ASSUMED_FACTOR  # how much slower than its pace it is in slow stretches
    _is_slow: bool = False  # the state that was told last
    pace: float = USUAL  # slowness outside of slow stretches
    _told_since: float = float("-inf")  # when tellings began to come close to each other
    # Times and slownesses of the last seconds' tellings, each less slow than all after it.
    _least: deque[tuple[float, float]] = field(default_factory=deque)
    _fast: _Stretches = field(default_factory=lambda: _assumed(ASSUMED_FAST_STRETCH))
    _slow: _Stretches = field(default_factory=lambda: _assumed(ASSUMED_SLOW_STRETCH))

    def told(self, slowness: float, now: float) -> None:
        """The server told its slowness."""
        self._learn_pace(slowness, now)
        is_slow = slowness >= SLOW * self.pace
        since = now - self.told_at
        if 0 < since <= CLOSE_TELLINGS:
            state = self._slow if self._is_slow else self._fast
            state.observe(since, ended=is_slow != self._is_slow)
        if is_slow:
            self.factor += FACTOR_WEIGHT * (slowness / self.pace - self.factor)
        self._is_slow = is_slow
        self.told_at = now

    def forget(self) -> None:
        """Another server stands here: what was told last says nothing of it."""
        self.told_at = float("-inf")
        self.pace = USUAL
        self._least.clear()

    def slow_chance(self, now: float) -> float:
        """The chance, 0 to 1, that the server is slow now."""
        to_slow, to_fast = self._fast.rate, self._slow.rate
        share = to_slow / (to_slow + to_fast)
        said = 1.0 if self._is_slow else 0.0
        age = max(0.0, now - self.told_at)
        return share + (said - share) * exp(-(to_slow + to_fast) * age)

    def _learn_pace(self, slowness: float, now: float) -> None:
        """The pace is the least slowness of the last seconds."""
        if now - self.told_at > PACE_MEMORY:
            self._told_since = now
        while self._least and self._least[-1][1] >= slowness:
            self._least.pop()
        self._least.append((now, slowness))
        while now - self._least[0][0] > PACE_MEMORY:
            self._least.popleft()
        least = self._least[0][1]
        is_sure = now - self._told_since >= PACE_DOUBT
        self.pace = least if is_sure else min(self.pace, least)

    @property
    def slow_stretch(self) -> float:
        """Seconds that a slow stretch lasts, mean."""
        return 1.0 / max(self._slow.rate, 1e-3)
