"""How fast one backend server works, and how likely it is that its last report still holds.

Load pattern: a server that shares its machine with others turns slow for some tenths of a
second, again and again, and reports its speed only with its answers.

| word | meaning |
|---|---|
| slowness | present service time / usual service time; 1 is as fast as usual, 4 takes four \
times as long |
| base slowness | the slowness outside of slow spells, above 1 for a server that has just \
started or is in trouble |
| slow spell | a stretch of time in which the slowness is at least `SLOW` times the base one |
| slow factor | slowness within slow spells / base slowness, mean |
| slow | a slowness of at least `SLOW`, in a slow spell or not |

`SpeedModel` learns these from the reports. What a gate does with a slow server is decided in
`wheatslip.admission.slowserver`. Pure code.
"""

from collections import deque
from dataclasses import dataclass, field
from math import exp

# Slowness from which on a server counts as slow, and is spared what others can take. Lower,
# ordinary noise counts as slow; higher, work goes to servers that are worth avoiding.
SLOW = 1.3
USUAL = 1.0  # slowness of a server that is as fast as usual
# Seconds of reports whose least slowness is the base slowness. Shorter than a slow spell, the
# spell itself would become the base; longer, a server that has warmed up counts as slow too
# long. Slow spells seen so far hardly ever last as long.
BASE_MEMORY = 1.0
# Seconds of close reports before they may raise the base slowness: the first report of a server
# may come from a slow spell.
BASE_SURE_AFTER = 0.2
# Two reports further apart than this (seconds) may have a whole spell between them, so they say
# nothing of how long one lasts. Slow spells seen so far last 0.1 to 0.4 s.
CLOSE_REPORTS = 0.25
# Seconds of each state that are remembered; older ones count half. That is some dozens of
# spells: fewer make the chances noisy, more adapt late.
SPELL_MEMORY = 20.0
# Weight of one report in the slow factor: about the last ten count.
SLOW_FACTOR_WEIGHT = 0.1

# What is assumed of a server that has reported little, and for how many seconds of reports the
# assumption counts. Near what was seen: spells of 0.3 s, a quarter or a third of the time, four
# times as slow.
ASSUMED_FAST_SPELL = 1.0  # seconds
ASSUMED_SLOW_SPELL = 0.2  # seconds
ASSUMED_SLOW_FACTOR = 4.0
ASSUMED_WEIGHT = 0.5  # seconds


@dataclass(slots=True)
class _Spells:
    """How often spells of one state, fast or slow, ended, and for how long it was watched."""

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
        if self.watched > SPELL_MEMORY:
            self.watched /= 2
            self.ends /= 2


def _assumed(mean_spell: float) -> _Spells:
    return _Spells(ends=ASSUMED_WEIGHT / mean_spell, watched=ASSUMED_WEIGHT)


@dataclass(slots=True)
class SpeedModel:
    """One server's speed as a chain of two states, fast and slow. Times in seconds."""

    reported_at: float = float("-inf")
    slow_factor: float = ASSUMED_SLOW_FACTOR
    _is_slow: bool = False  # by the last report
    base_slowness: float = USUAL
    _close_since: float = float("-inf")  # when reports began to come close to each other
    # Times and slownesses of the reports within `BASE_MEMORY` that are less slow than all
    # reports after them.
    _least: deque[tuple[float, float]] = field(default_factory=deque)
    _fast: _Spells = field(default_factory=lambda: _assumed(ASSUMED_FAST_SPELL))
    _slow: _Spells = field(default_factory=lambda: _assumed(ASSUMED_SLOW_SPELL))

    def reported(self, slowness: float, now: float) -> None:
        """The server reports its slowness."""
        self._learn_base(slowness, now)
        is_slow = slowness >= SLOW * self.base_slowness
        since = now - self.reported_at
        if 0 < since <= CLOSE_REPORTS:
            state = self._slow if self._is_slow else self._fast
            state.observe(since, ended=is_slow != self._is_slow)
        if is_slow:
            factor = slowness / self.base_slowness
            self.slow_factor += SLOW_FACTOR_WEIGHT * (factor - self.slow_factor)
        self._is_slow = is_slow
        self.reported_at = now

    def forget(self) -> None:
        """Another server has come: reports of the one before say nothing of its speed."""
        self.reported_at = float("-inf")
        self.base_slowness = USUAL
        self._least.clear()

    def slow_chance(self, now: float) -> float:
        """The chance, 0 to 1, that the server is slow now."""
        to_slow, to_fast = self._fast.rate, self._slow.rate
        share = to_slow / (to_slow + to_fast)
        reported = 1.0 if self._is_slow else 0.0
        age = max(0.0, now - self.reported_at)
        return share + (reported - share) * exp(-(to_slow + to_fast) * age)

    def _learn_base(self, slowness: float, now: float) -> None:
        """The base slowness is the least one within `BASE_MEMORY`."""
        if now - self.reported_at > BASE_MEMORY:
            self._close_since = now
        while self._least and self._least[-1][1] >= slowness:
            self._least.pop()
        self._least.append((now, slowness))
        while now - self._least[0][0] > BASE_MEMORY:
            self._least.popleft()
        least = self._least[0][1]
        is_sure = now - self._close_since >= BASE_SURE_AFTER
        self.base_slowness = least if is_sure else min(self.base_slowness, least)

    @property
    def mean_slow_spell(self) -> float:
        """Seconds that a slow spell lasts, mean."""
        return 1.0 / max(self._slow.rate, 1e-3)
