"""Speed of one backend server, and how likely it is that its last report is still valid.

A server that shares its machine with others repeatedly becomes slow for some tenths of a
second. It reports its speed only with its responses.

| term | meaning |
|---|---|
| slowness | current service time / usual service time: 1 is the usual speed, at 4 a request \
takes four times as long |
| base slowness | the slowness outside slow periods; above 1 for a server that has just \
started or has a lasting problem |
| slow period | a time in which the slowness is at least `SLOW_THRESHOLD` times the base \
slowness |
| slow factor | mean of slowness / base slowness during slow periods |
| slow | a slowness of at least `SLOW_THRESHOLD`, in a slow period or not |

`SpeedModel` estimates these values from the reports. `wheatslip.admission.slowserver` decides
how a gate treats a slow server. This module does no I/O.
"""

from collections import deque
from dataclasses import dataclass, field
from math import exp

# A lower threshold would treat ordinary noise as slowness, a higher one would send requests to
# servers that are better avoided.
SLOW_THRESHOLD = 1.3  # slowness from which a server counts as slow
USUAL_SLOWNESS = 1.0
# The base is the lowest slowness in it. It is longer than a slow period, which would become the
# base otherwise; the longer it is, the longer a server that has warmed up counts as slow.
BASE_WINDOW_SECONDS = 1.0
# Reports must span this time to raise the base, since the first may come from a slow period.
BASE_MIN_SPAN_SECONDS = 0.2
MAX_REPORT_GAP_SECONDS = 0.25  # a whole period may lie in a longer gap, which is not used
# Per state; above it the statistics are halved. With less the probabilities are noisy, with
# more they adapt late.
MAX_OBSERVED_SECONDS = 20.0
SLOW_FACTOR_WEIGHT = 0.1  # weight of one report in the moving average

# Initial estimates for a server with few reports, and the observation time that they count as.
ASSUMED_FAST_PERIOD_SECONDS = 1.0
ASSUMED_SLOW_PERIOD_SECONDS = 0.2
ASSUMED_SLOW_FACTOR = 4.0
ASSUMED_WEIGHT_SECONDS = 0.5


@dataclass(slots=True)
class _PeriodStatistics:
    """Number of ended periods of one state, fast or slow, and its total observation time."""

    ends: float
    observed_seconds: float

    @property
    def rate(self) -> float:
        """Ended periods per second in this state."""
        return self.ends / self.observed_seconds

    def observe(self, seconds: float, *, ended: bool) -> None:
        """Records whether the state had ended `seconds` after it was reported."""
        self.observed_seconds += seconds
        self.ends += ended
        if self.observed_seconds > MAX_OBSERVED_SECONDS:
            self.observed_seconds /= 2
            self.ends /= 2


def _assumed_statistics(mean_seconds: float) -> _PeriodStatistics:
    return _PeriodStatistics(
        ends=ASSUMED_WEIGHT_SECONDS / mean_seconds, observed_seconds=ASSUMED_WEIGHT_SECONDS
    )


@dataclass(slots=True)
class SpeedModel:
    """Speed of one server as a Markov chain with the states fast and slow. Times in seconds."""

    reported_at: float = float("-inf")
    slow_factor: float = ASSUMED_SLOW_FACTOR
    _is_slow: bool = False  # state in the last report
    base_slowness: float = USUAL_SLOWNESS
    # First report since the last gap longer than `BASE_WINDOW_SECONDS`.
    _steady_since: float = float("-inf")
    # Times and slownesses of the reports within `BASE_WINDOW_SECONDS` that are lower than all
    # later ones, so the first one is the minimum.
    _window_minima: deque[tuple[float, float]] = field(default_factory=deque)
    _fast: _PeriodStatistics = field(
        default_factory=lambda: _assumed_statistics(ASSUMED_FAST_PERIOD_SECONDS)
    )
    _slow: _PeriodStatistics = field(
        default_factory=lambda: _assumed_statistics(ASSUMED_SLOW_PERIOD_SECONDS)
    )

    def on_report(self, slowness: float, now: float) -> None:
        self._update_base_slowness(slowness, now)
        is_slow = slowness >= SLOW_THRESHOLD * self.base_slowness
        elapsed = now - self.reported_at
        if 0 < elapsed <= MAX_REPORT_GAP_SECONDS:
            state = self._slow if self._is_slow else self._fast
            state.observe(elapsed, ended=is_slow != self._is_slow)
        if is_slow:
            factor = slowness / self.base_slowness
            self.slow_factor += SLOW_FACTOR_WEIGHT * (factor - self.slow_factor)
        self._is_slow = is_slow
        self.reported_at = now

    def reset(self) -> None:
        """Discards the last report and the base slowness when the server was replaced."""
        self.reported_at = float("-inf")
        self.base_slowness = USUAL_SLOWNESS
        self._window_minima.clear()

    def slow_probability(self, now: float) -> float:
        """Returns the probability, from 0 to 1, that the server is slow at `now`."""
        rate_to_slow, rate_to_fast = self._fast.rate, self._slow.rate
        slow_share = rate_to_slow / (rate_to_slow + rate_to_fast)
        last_state = 1.0 if self._is_slow else 0.0
        age = max(0.0, now - self.reported_at)
        return slow_share + (last_state - slow_share) * exp(
            -(rate_to_slow + rate_to_fast) * age
        )

    def _update_base_slowness(self, slowness: float, now: float) -> None:
        if now - self.reported_at > BASE_WINDOW_SECONDS:
            self._steady_since = now
        while self._window_minima and self._window_minima[-1][1] >= slowness:
            self._window_minima.pop()
        self._window_minima.append((now, slowness))
        while now - self._window_minima[0][0] > BASE_WINDOW_SECONDS:
            self._window_minima.popleft()
        lowest = self._window_minima[0][1]
        has_min_span = now - self._steady_since >= BASE_MIN_SPAN_SECONDS
        self.base_slowness = lowest if has_min_span else min(self.base_slowness, lowest)

    @property
    def mean_slow_period_seconds(self) -> float:
        return 1.0 / max(self._slow.rate, 1e-3)
