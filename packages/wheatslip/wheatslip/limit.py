"""The concurrency limit of one backend server, found from what its answers take.

While there is room, a request takes the same time whatever the concurrency; past the
server's slots the time grows with it. The limit goes up while saturated answers take about
as long as unhurried ones, and down when they take clearly longer.
"""

from dataclasses import dataclass

# Requests that may run at one time before anything is learned. Higher, a small server is
# overrun at first; lower, a large one idles until the limit has grown.
INITIAL_LIMIT = 8
# Bounds of the limit. Below the lower one a server that was slow for a while would serve one
# request at a time; beyond the upper one the limit protects nothing.
MIN_LIMIT = 2
MAX_LIMIT = 1000
# Weight of one answer in the service time: about the last ten count. Less follows a change
# late, more follows single answers.
SERVICE_WEIGHT = 0.1
# Mean time of a window / unhurried time, below which the limit grows and above which it
# shrinks. Nearer to each other the limit swings, further apart it stays where it is.
GROW_BELOW = 1.25
SHRINK_ABOVE = 1.6
# By which a limit shrinks in one window: smaller gives up slots for one bad window, larger
# leaves an overload standing.
SHRINK_FACTOR = 0.9
# Part by which the unhurried time follows a slower window, so that a lasting slow-down becomes
# the new normal. More forgets the unhurried time during an overload.
BASELINE_DRIFT = 0.02
# Seconds that a request is taken to last until the first answer.
INITIAL_SERVICE = 0.005


@dataclass(slots=True)
class ConcurrencyLimit:
    """The limit, and the service time in seconds. `slots` above 0 fixes the limit."""

    slots: int = 0
    service: float = INITIAL_SERVICE
    _value: float = INITIAL_LIMIT
    _baseline: float = 0.0
    _seen: bool = False
    _window_sum: float = 0.0
    _window_count: int = 0
    _window_saturated: int = 0

    @property
    def value(self) -> int:
        """Requests that may run at one time."""
        return self.slots or int(self._value)

    def observe(self, took: float, *, saturated: bool) -> None:
        """One answer took `took` seconds; `saturated`: the limit kept others from running."""
        weight = SERVICE_WEIGHT if self._seen else 1.0
        self._seen = True
        self.service += weight * (took - self.service)
        if self.slots:
            return
        self._window_sum += took
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
            self._baseline += BASELINE_DRIFT * (mean - self._baseline)
        ratio = mean / self._baseline
        if ratio > SHRINK_ABOVE:
            self._value = max(MIN_LIMIT, self._value * SHRINK_FACTOR)
        elif ratio < GROW_BELOW and was_saturated:
            self._value = min(MAX_LIMIT, self._value + max(1.0, self._value**0.5 / 2))
