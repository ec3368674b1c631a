"""Retry budgets: how many more sends than requests are allowed, per workspace and service.

A budget earns a part of a token for each request and pays one for each further send, so that
retries stay a fixed share of live traffic, also when everything fails. Where the operator sets
a `FleetBudget`, its bound holds instead: in any window, over all daemons together.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

# Tokens that a request earns: retries per request. With less, single failures reach callers;
# with more, retries add load where servers fail of load.
RETRY_SHARE = 0.1
INITIAL_TOKENS = 3.0  # so that the first failures of a new budget are retried
# Tokens that a budget can save up, which bounds a burst of retries.
MAX_TOKENS = 20.0
# Buckets that a window is counted in: more cost memory, fewer let go of requests in larger
# steps, so fewer retries are allowed.
BUCKETS = 20


class Budget(Protocol):
    """Pays for the sends of a request beyond its first."""

    def on_request(self) -> None:
        """A first try was sent."""

    def take(self) -> bool:
        """Pay for one more send; False if the budget is spent."""


@dataclass(slots=True)
class RetryBudget:
    """Tokens for retries of one workspace at one service."""

    share: float = RETRY_SHARE
    tokens: float = INITIAL_TOKENS

    def on_request(self) -> None:
        """A first try was sent."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.share)

    def take(self) -> bool:
        """Pay for one retry; False if the budget is spent."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class FleetBudget:
    """Bound on the further sends to one service by all daemons together, in any window."""

    share: float  # further sends per request
    reserve: float  # further sends besides
    window: float = 10.0  # seconds


@dataclass(slots=True)
class _Bucket:
    """What was counted from `since` on."""

    since: float
    requests: int = 0
    retries: int = 0


@dataclass(slots=True)
class WindowBudget:
    """One daemon's part of a `FleetBudget` at one service.

    Daemons share no state: each spends the share of its own requests and an equal part of the
    reserve, so the sum stays within the bound whichever daemon is cut off or restarted. What a
    daemon spent before a restart is not known, so it has no reserve for a whole window.
    """

    bound: FleetBudget
    members: Callable[[], int]
    started: float
    _buckets: deque[_Bucket] = field(default_factory=deque)
    _now: float = float("-inf")

    def advance(self, now: float) -> None:
        """Drop the buckets that have left the window at `now`."""
        self._now = now
        step = self.bound.window / BUCKETS
        if not self._buckets or now >= self._buckets[-1].since + step:
            self._buckets.append(_Bucket(now))
        while self._buckets[0].since < now - self.bound.window - step:
            self._buckets.popleft()

    def on_request(self) -> None:
        """A first try was sent."""
        self._buckets[-1].requests += 1

    def take(self) -> bool:
        """Pay for one more send; False if the budget is spent."""
        # Of a bucket that has left the window in part the retries still count and the requests
        # no longer do, so that the bound holds.
        begin = self._now - self.bound.window
        requests = sum(b.requests for b in self._buckets if b.since >= begin)
        retries = sum(bucket.retries for bucket in self._buckets)
        allowed = self.bound.share * requests + self._reserve()
        if retries + 1 > allowed:
            return False
        self._buckets[-1].retries += 1
        return True

    def _reserve(self) -> float:
        if self._buckets[-1].since < self.started + self.bound.window:
            return 0.0
        return self.bound.reserve / max(1, self.members())


class RetryBudgets:
    """The budgets of an entry, made when first needed."""

    def __init__(
        self,
        share: float = RETRY_SHARE,
        fleet: FleetBudget | None = None,
        members: Callable[[], int] = lambda: 1,
        started: float = 0.0,
    ):
        """With `fleet` its bound holds over as many daemons as `members` returns, for all
        workspaces together; `started` is when this daemon started (seconds, monotonic).
        """
        self._share = share
        self._fleet = fleet
        self._members = members
        self._started = started
        self._budgets: dict[tuple[str, str], RetryBudget] = {}
        self._windows: dict[str, WindowBudget] = {}

    def of(self, workspace: str, service: str, now: float = 0.0) -> Budget:
        """The budget of one workspace at one service."""
        if self._fleet is not None:
            return self._window(self._fleet, service, now)
        key = (workspace, service)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget(self._share)
        return budget

    def _window(self, bound: FleetBudget, service: str, now: float) -> WindowBudget:
        budget = self._windows.get(service)
        if budget is None:
            budget = WindowBudget(bound, self._members, self._started)
            self._windows[service] = budget
        budget.advance(now)
        return budget
