"""The turns of a cold backend server: how many requests may start there in any second.

Load pattern: a server that has just started bears few requests a second; well above that it
falls over, comes back cold, and falls over again for as long as its callers press as before.
Only the gate can hold the rate, as it is the only way to the server.

The bound holds for any second, wherever it begins. Starts are spaced evenly, with a small burst
on top, so that a daemon which is restarted in that second, and knows nothing of the starts
before, stays below the bound too: it needs a third of a second to start again.
"""

from collections import deque
from dataclasses import dataclass, field

WINDOW = 1.0  # seconds
# Part of the slack that is used for a burst. The rest is left for what is on its way: of starts
# that a new connection held up, a quarter of a second's arrive together (`connect-timeout`).
BURST_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class ColdRate:
    """What a cold server gets: `per_second` evenly spaced, and `burst` at once.

    `seconds` is how long a server stays cold whose own word on it is not known.
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
class ColdTurns:
    """Whether one server is cold, and its turns. Times in seconds, monotonic."""

    rate: ColdRate | None = None  # None: its pool has no bound
    _told_until: float = float("-inf")
    _assumed_until: float = float("-inf")
    _next_free: float = float("-inf")  # when the next evenly spaced start is due
    # The latest starts, warm ones too: what came before coldness was known counts as well.
    _starts: deque[float] = field(default_factory=deque)

    def bound(self, rate: ColdRate | None) -> None:
        """Take over the rate of the pool."""
        self.rate = rate
        self._starts = deque(self._starts, maxlen=rate.in_any_second if rate else 0)

    def told(self, remaining: float, now: float) -> None:
        """The server said that it stays cold for so long.

        A word that it is warm takes nothing back: it may be older than the one before, which
        runs out by itself.
        """
        if remaining > 0:
            self._told_until = max(self._told_until, now + remaining)

    def assume(self, now: float) -> None:
        """The server may have turned cold unheard: it counts as cold until it is asked."""
        if self.rate is not None:
            self._assumed_until = now + self.rate.seconds

    def asked(self) -> None:
        """The server was asked, and told what there is: nothing needs to be assumed."""
        self._assumed_until = float("-inf")

    def replaced(self) -> None:
        """Another server stands here: what was told goes with the one before."""
        self._told_until = float("-inf")
        self._assumed_until = float("-inf")

    def is_cold(self, now: float) -> bool:
        """Whether the bound applies."""
        return self.rate is not None and now < max(self._told_until, self._assumed_until)

    def is_assumed(self, now: float) -> bool:
        """Whether the server counts as cold only until it is asked."""
        return self.rate is not None and now < self._assumed_until

    def wait(self, ahead: int, now: float) -> float:
        """Seconds until a request may start that lets `ahead` others go first."""
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
