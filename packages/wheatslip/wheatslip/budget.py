"""Retry budgets: how many more sends than requests are allowed, per workspace and service.

A budget earns a part of a token for each request and pays one for each retry or hedge, so
that retries stay a fixed share of live traffic, also when everything fails.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

RETRY_SHARE = 0.1
RESERVE = 3.0  # tokens an idle budget starts from and can save up to, at least
SAVED_SECONDS_SHARE = 20.0  # tokens a busy budget can save up to
BUCKETS = 20  # parts of a window


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
    tokens: float = RESERVE

    def on_request(self) -> None:
        """A first try was sent."""
        self.tokens = min(SAVED_SECONDS_SHARE, self.tokens + self.share)

    def take(self) -> bool:
        """Pay for one retry; False if the budget is spent."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class FleetBudget:
    """Bound on the repeated sends to one service by all daemons together.

    In any `window` (seconds) there may be `share` of the requests, and `reserve` besides.
    """

    share: float
    reserve: float
    window: float = 10.0


@dataclass(slots=True)
class _Bucket:
    """What was counted from `since` on."""

    since: float
    requests: int = 0
    retries: int = 0


@dataclass(slots=True)
class WindowBudget:
    """One daemon's part of a `FleetBudget` at one service.

    Nothing is shared: each daemon spends the share of its own requests and an equal part of
    the reserve, so the sum stays within the bound whoever is cut off or restarted. A daemon
    that has just started has spent an unknown part in its former life, so it gets no reserve
    for a whole window.
    """

    bound: FleetBudget
    members: Callable[[], int]
    started: float
    _buckets: deque[_Bucket] = field(default_factory=deque)
    _now: float = float("-inf")

    def advance(self, now: float) -> None:
        """Forget what has left the window."""
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
        # Both err on the safe side: of a bucket that has left the window in part, its retries
        # still count and its requests no longer do.
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
        """With `fleet` the bound holds over the `members` daemons, whatever the workspace."""
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
