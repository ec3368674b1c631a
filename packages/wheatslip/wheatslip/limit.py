"""Adaptive concurrency limit of one backend server, derived from its service times.

The service time does not depend on the concurrency until all slots of the server are in use;
beyond that it grows. The limit is raised while service times at the limit are close to the
baseline, the service time without contention, and lowered when they are clearly longer.
"""

from dataclasses import dataclass

# Limits of concurrent requests.
INITIAL_LIMIT = 8  # a higher one overloads a small server, a lower one leaves a large one idle
MIN_LIMIT = 2  # avoids serial execution after the server was slow for some time
MAX_LIMIT = 1000  # a higher limit would protect nothing
SERVICE_TIME_WEIGHT = 0.1  # of one response in the moving average
# Ratios of a window's mean service time to the baseline at which the limit changes. If they are
# closer to each other, the limit oscillates; if further apart, it does not adapt.
GROW_BELOW_RATIO = 1.25
SHRINK_ABOVE_RATIO = 1.6
# A lower factor gives up slots for one bad window, a higher one prolongs an overload.
SHRINK_FACTOR = 0.9  # applied to the limit once per window
# Of a slower window; above 0, so that a lasting slowdown becomes the baseline, but low, since a
# short overload is not the baseline.
BASELINE_WEIGHT = 0.02
INITIAL_SERVICE_TIME_SECONDS = 0.005  # assumed before the first response


@dataclass(slots=True)
class ConcurrencyLimit:
    """Concurrency limit, and the mean service time in seconds.

    If `slots` is above 0, the limit is fixed at that value.
    """

    slots: int = 0
    service_time: float = INITIAL_SERVICE_TIME_SECONDS
    _value: float = INITIAL_LIMIT
    _baseline: float = 0.0
    _has_samples: bool = False
    _window_sum: float = 0.0
    _window_count: int = 0
    _window_saturated: int = 0

    @property
    def value(self) -> int:
        """Number of requests that may run concurrently."""
        return self.slots or int(self._value)

    def observe(self, seconds: float, *, saturated: bool) -> None:
        """Records the service time of one response; `saturated` tells whether the limit kept
        other requests from starting.
        """
        weight = SERVICE_TIME_WEIGHT if self._has_samples else 1.0
        self._has_samples = True
        self.service_time += weight * (seconds - self.service_time)
        if self.slots:
            return
        self._window_sum += seconds
        self._window_count += 1
        self._window_saturated += saturated
        if self._window_count >= 2 * self.value:
            self._close_window()

    def _close_window(self) -> None:
        mean = self._window_sum / self._window_count
        was_saturated = 2 * self._window_saturated > self._window_count
        self._window_sum = 0.0
        self._window_count = 0
        self._window_saturated = 0
        if not self._baseline or mean < self._baseline:
            self._baseline = mean
        else:
            self._baseline += BASELINE_WEIGHT * (mean - self._baseline)
        ratio = mean / self._baseline
        if ratio > SHRINK_ABOVE_RATIO:
            self._value = max(MIN_LIMIT, self._value * SHRINK_FACTOR)
        elif ratio < GROW_BELOW_RATIO and was_saturated:
            self._value = min(MAX_LIMIT, self._value + max(1.0, self._value**0.5 / 2))
