"""How many requests may start at a cold backend server in any second.

Load pattern: a server that has just started bears few requests a second. Well above that it
fails, comes back cold, and fails again for as long as its callers press as before. The gate is
the only way to the server, so the gate holds the rate.

The rules, in the order in which they are met:

| rule | then |
|---|---|
| the pool has no bound, or the server is not cold | a request may start at once |
| as many as the rate and the burst allow have started within the last second | it waits until \
the first of them is a second old |
| the starts are ahead of their even spacing by more than the burst | it waits for its place |

The bound holds for any second, wherever it begins. Starts are spaced evenly with a small burst
on top, so that a daemon which restarts within that second, and does not know the starts before,
stays below the bound too: it needs a third of a second to start again.
"""

from collections import deque
from dataclasses import dataclass, field

WINDOW = 1.0  # seconds; the platform bounds a cold server by the second
# Part of the pool's slack that is used for a burst. More leaves no room for starts that a new
# connection holds up: a quarter of a second's may reach the server together
# (`connect-timeout`). Less leaves slots idle.
BURST_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class ColdRate:
    """What a cold server gets: `per_second` starts evenly spaced, and `burst` at once.

    `seconds` is how long a server counts as cold that has not reported how long it is.
    """

    seconds: float
    per_second: float
    burst: float = 1.0

    @property
    def spacing(self) -> float:
        """Seconds from one start to the next."""
        return 1.0 / self.per_second

    @property
    def in_any_second(self) -> int:
        """Starts in a second, at most."""
        return int(self.per_second + self.burst)


def cold_rate(seconds: float, per_second: float, overage: float, slack: float) -> ColdRate:
    """The rate for a server that must not get more than `per_second` times `overage` and
    `slack` requests in any second.
    """
    return ColdRate(seconds, per_second * overage, max(1.0, BURST_SHARE * slack))


@dataclass(slots=True)
class ColdStarts:
    """Whether one server is cold, and when a request may start. Times in seconds, monotonic."""

    rate: ColdRate | None = None  # None: its pool has no bound
    _reported_until: float = float("-inf")
    _assumed_until: float = float("-inf")
    _next_free: float = float("-inf")  # when the next evenly spaced start is due
    # The latest starts, also those while it was warm: they may lie within the same second.
    _starts: deque[float] = field(default_factory=deque)

    def bound(self, rate: ColdRate | None) -> None:
        """Take over the rate of the pool."""
        self.rate = rate
        self._starts = deque(self._starts, maxlen=rate.in_any_second if rate else 0)

    def reported(self, remaining: float, now: float) -> None:
        """The server reports that it stays cold for `remaining` seconds.

        A report of 0 does not end an earlier one: it may be older, and the earlier one runs
        out by itself.
        """
        if remaining > 0:
            self._reported_until = max(self._reported_until, now + remaining)

    def assume(self, now: float) -> None:
        """The server may have turned cold without a report: it counts as cold until probed."""
        if self.rate is not None:
            self._assumed_until = now + self.rate.seconds

    def probed(self) -> None:
        """The server answered a probe, so nothing needs to be assumed."""
        self._assumed_until = float("-inf")

    def replaced(self) -> None:
        """Another server has come: reports of the one before don't count."""
        self._reported_until = float("-inf")
        self._assumed_until = float("-inf")

    def is_cold(self, now: float) -> bool:
        """Whether the bound applies."""
        return self.rate is not None and now < max(self._reported_until, self._assumed_until)

    def is_assumed(self, now: float) -> bool:
        """Whether the server counts as cold until it is probed."""
        return self.rate is not None and now < self._assumed_until

    def wait(self, ahead: int, now: float) -> float:
        """Seconds until a request may start that has `ahead` others before it."""
        rate = self.rate
        if rate is None or not self.is_cold(now):
            return 0.0
        soonest = self._next_free - (rate.burst - 1.0) * rate.spacing
        if len(self._starts) == self._starts.maxlen:
            soonest = max(soonest, self._starts[0] + WINDOW)
        return max(0.0, soonest - now) + ahead * rate.spacing

    def on_start(self, now: float) -> None:
        """A request starts."""
        if self.rate is None:
            return
        self._starts.append(now)
        self._next_free = max(self._next_free, now) + self.rate.spacing
