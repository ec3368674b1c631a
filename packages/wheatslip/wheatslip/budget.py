"""Retry budgets, which limit retries per workspace and service.

Each request adds a fraction of a token to the budget and each retry takes one token, so retries
stay a fixed share of the traffic even if every request fails. If the operator configures a
`FleetBudget`, it replaces these budgets and limits the retries of all daemons together in any
window.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

# Tokens added per request, i.e. retries allowed per request. A lower share lets single failures
# reach callers, a higher one adds load to servers that fail because of load.
RETRY_SHARE = 0.1
INITIAL_TOKENS = 3.0  # allows retries before the first tokens are earned
MAX_TOKENS = 20.0  # limits a burst of retries
# Time resolution of a sliding window. More buckets use more memory; with fewer ones requests
# leave the window in larger steps, so fewer retries are allowed.
WINDOW_BUCKETS = 20


class Budget(Protocol):
    """Limits the retries of requests."""

    def on_request(self) -> None:
        """Records the first attempt of a request."""

    def take(self) -> bool:
        """Spends the budget for one retry; returns False if none is left."""


@dataclass(slots=True)
class RetryBudget:
    """A token bucket for the retries of one workspace at one service."""

    share: float = RETRY_SHARE
    tokens: float = INITIAL_TOKENS

    def on_request(self) -> None:
        self.tokens = min(MAX_TOKENS, self.tokens + self.share)

    def take(self) -> bool:
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class FleetBudget:
    """Limit on the retries that all daemons together send to one service in any window."""

    share: float  # retries per request
    reserve: float  # retries allowed in addition, whatever the number of requests
    window: float = 10.0  # seconds


@dataclass(slots=True)
class _WindowBucket:
    """Requests and retries of one time slice of a window, which starts at `since`."""

    since: float
    requests: int = 0
    retries: int = 0


@dataclass(slots=True)
class WindowBudget:
    """One daemon's part of a `FleetBudget` at one service.

    Daemons share no state. Each may use the share for its own requests and an equal part of the
    reserve, so the sum stays within the limit even if a daemon is partitioned or restarted, as
    long as the daemons' shares of the requests do not change much within a window. A
    restarted daemon does not know what it used before, so it gets no reserve during its first
    window.
    """

    bound: FleetBudget
    members: Callable[[], int]
    started: float
    _buckets: deque[_WindowBucket] = field(default_factory=deque)
    _now: float = float("-inf")

    @property
    def _bucket_seconds(self) -> float:
        return self.bound.window / WINDOW_BUCKETS

    def advance(self, now: float) -> None:
        """Moves the window to `now` and drops the buckets that no check needs any more."""
        self._now = now
        if not self._buckets or now >= self._buckets[-1].since + self._bucket_seconds:
            self._buckets.append(_WindowBucket(now))
        while self._buckets[0].since < now - 2 * self.bound.window - self._bucket_seconds:
            self._buckets.popleft()

    def on_request(self) -> None:
        self._buckets[-1].requests += 1

    def take(self) -> bool:
        # A bucket partly in a window counts with its retries but not with its requests,
        # so that the error allows too few retries rather than too many.
        window_start = self._now - self.bound.window
        requests = sum(b.requests for b in self._buckets if b.since >= window_start)
        retries = self._retries_since(window_start - self._bucket_seconds)
        if retries + 1 > self._max_retries(requests):
            return False
        starts = [b.since for b in self._buckets if b.retries and b.since >= window_start]
        if not all(self._fits_window(start) for start in starts):
            return False
        self._buckets[-1].retries += 1
        return True

    def _fits_window(self, start: float) -> bool:
        """Whether one more retry fits the windows that begin in the bucket at `start`.

        The requests of such a window count, those of the window before it or those of the one
        half a window before it, whichever are the most.
        """
        window = self.bound.window
        first = start + self._bucket_seconds
        requests = max(
            self._requests_between(begin, begin + window - self._bucket_seconds)
            for begin in (first, first - window / 2, first - window)
        )
        return self._retries_since(start) + 1 <= self._max_retries(requests)

    def _retries_since(self, begin: float) -> int:
        return sum(bucket.retries for bucket in self._buckets if bucket.since >= begin)

    def _requests_between(self, begin: float, end: float) -> int:
        """Requests of the buckets that lie completely in this time."""
        last = end - self._bucket_seconds
        return sum(b.requests for b in self._buckets if begin <= b.since <= last)

    def _max_retries(self, requests: int) -> float:
        return self.bound.share * requests + self._reserve()

    def _reserve(self) -> float:
        if self._buckets[-1].since < self.started + self.bound.window:
            return 0.0
        return self.bound.reserve / max(1, self.members())


class RetryBudgets:
    """The budgets of one entry, created on first use."""

    def __init__(
        self,
        share: float = RETRY_SHARE,
        fleet: FleetBudget | None = None,
        members: Callable[[], int] = lambda: 1,
        started: float = 0.0,
    ):
        """If `fleet` is given, it limits the retries of all workspaces together, divided among
        as many daemons as `members` returns. `started` is the start time of this daemon
        (seconds, monotonic).
        """
        self._share = share
        self._fleet = fleet
        self._members = members
        self._started = started
        self._budgets: dict[tuple[str, str], RetryBudget] = {}
        self._window_budgets: dict[str, WindowBudget] = {}

    def of(self, workspace: str, service: str, now: float = 0.0) -> Budget:
        if self._fleet is not None:
            return self._window_budget(self._fleet, service, now)
        key = (workspace, service)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget(self._share)
        return budget

    def _window_budget(self, bound: FleetBudget, service: str, now: float) -> WindowBudget:
        budget = self._window_budgets.get(service)
        if budget is None:
            budget = WindowBudget(bound, self._members, self._started)
            self._window_budgets[service] = budget
        budget.advance(now)
        return budget
