"""Rate limit for the requests that start at a cold backend server.

A server that has just started handles few requests per second. At a much higher rate it fails,
restarts cold, and fails again until its callers send less. All requests to the server go
through its gate, so the gate enforces the rate.

The rules in the order in which they apply:

| condition | result |
|---|---|
| the pool has no limit, or the server is not cold | the request may start at once |
| the number of starts within the last second has reached the limit | it waits until the first \
of them is one second old |
| the starts are ahead of their even spacing by more than the burst | it waits for the next \
evenly spaced start |

The limit applies to any window of one second. The even spacing keeps a daemon that restarts
within such a window below the limit, although it does not know the starts before its restart.
"""

from collections import deque
from dataclasses import dataclass, field

from wheatslip.admission.pacing import Pace, PacedStarts

WINDOW_SECONDS = 1.0  # the platform limits the requests per second at a cold server
# The rest of the slack is for starts that a new connection delays, up to `connect-timeout`.
BURST_SHARE_OF_SLACK = 0.5


@dataclass(frozen=True, slots=True)
class ColdRate:
    """Rate limit of a cold server: `per_second` evenly spaced starts, and `burst` at once.

    `seconds` is how long a server counts as cold if it has not reported the time itself.
    """

    seconds: float
    per_second: float
    burst: float = 1.0

    @property
    def spacing(self) -> float:
        """Seconds between two starts."""
        return self.pace.spacing

    @property
    def pace(self) -> Pace:
        return Pace(self.per_second, self.burst)

    @property
    def max_per_second(self) -> int:
        """Largest number of starts in any second."""
        return int(self.per_second + self.burst)


def cold_rate(seconds: float, per_second: float, overage: float, slack: float) -> ColdRate:
    """Returns the rate limit for a server that must not get more than `per_second * overage +
    slack` requests in any second.
    """
    return ColdRate(seconds, per_second * overage, max(1.0, BURST_SHARE_OF_SLACK * slack))


@dataclass(slots=True)
class ColdStartLimiter:
    """Limits the starts at one server while it is cold. Times in seconds, monotonic."""

    rate: ColdRate | None = None  # None: its pool has no limit
    _reported_until: float = float("-inf")
    _assumed_until: float = float("-inf")
    _paced: PacedStarts = field(default_factory=PacedStarts)
    # The latest starts, including those at the warm server, which may lie in the same second.
    _starts: deque[float] = field(default_factory=deque)

    def set_rate(self, rate: ColdRate | None) -> None:
        """Sets the rate limit of the pool."""
        self.rate = rate
        self._starts = deque(self._starts, maxlen=rate.max_per_second if rate else 0)

    def on_report(self, remaining: float, now: float) -> None:
        """Handles a report that the server stays cold for another `remaining` seconds.

        A report of 0 does not cancel an earlier one: it may be older, and the earlier one
        expires anyway.
        """
        if remaining > 0:
            self._reported_until = max(self._reported_until, now + remaining)

    def assume_cold(self, now: float) -> None:
        """Treats the server as cold until it is probed, as it may have become cold without a
        report.
        """
        if self.rate is not None:
            self._assumed_until = now + self.rate.seconds

    def on_probe_answered(self) -> None:
        """Stops treating the server as cold by assumption after it has answered a probe."""
        self._assumed_until = float("-inf")

    def on_server_replaced(self) -> None:
        """Discards the state of the previous server after another one has replaced it."""
        self._reported_until = float("-inf")
        self._assumed_until = float("-inf")

    def is_cold(self, now: float) -> bool:
        """Whether the rate limit applies."""
        return self.rate is not None and now < max(self._reported_until, self._assumed_until)

    def is_assumed_cold(self, now: float) -> bool:
        """Whether the server is treated as cold until it is probed."""
        return self.rate is not None and now < self._assumed_until

    def wait(self, ahead: int, now: float) -> float:
        """Returns the seconds until a request with `ahead` others before it may start."""
        rate = self.rate
        if rate is None or not self.is_cold(now):
            return 0.0
        earliest = self._paced.earliest(rate.pace)
        if len(self._starts) == self._starts.maxlen:
            earliest = max(earliest, self._starts[0] + WINDOW_SECONDS)
        return max(0.0, earliest - now) + ahead * rate.spacing

    def on_start(self, now: float) -> None:
        if self.rate is None:
            return
        self._starts.append(now)
        self._paced.on_start(self.rate.pace, now)
