"""Retry budgets: how many more sends than requests are allowed, per workspace and service.

A budget earns a part of a token for each request and pays one for each retry or hedge, so
that retries stay a fixed share of live traffic, also when everything fails.
"""

from dataclasses import dataclass

RETRY_SHARE = 0.1
RESERVE = 3.0  # tokens an idle budget starts from and can save up to, at least
SAVED_SECONDS_SHARE = 20.0  # tokens a busy budget can save up to
MAX_RETRIES_ON_THE_WAY = 2  # retries that may happen in all hops of one call together


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


class RetryBudgets:
    """The budgets of an entry, made when first needed."""

    def __init__(self, share: float = RETRY_SHARE):
        self._share = share
        self._budgets: dict[tuple[str, str], RetryBudget] = {}

    def of(self, workspace: str, service: str) -> RetryBudget:
        """The budget of one workspace at one service."""
        key = (workspace, service)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget(self._share)
        return budget
