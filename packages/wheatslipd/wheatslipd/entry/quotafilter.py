"""The filter that holds a workspace to its rate limit over all daemons.

It comes last, so that only requests that would be sent use a token. A request of a workspace
without a limit passes at once.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from wheatslip.config.bundle import RateLimit, Workspace
from wheatslip.outcome import NotRun, Outcome, Reason
from wheatslip.retryafter import over_limit_refusal

from wheatslipd.chain import EntryRequest, Proceed
from wheatslipd.quota.client import OverLimit, QuotaClient, TakeResult
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics

LOG_INTERVAL_SECONDS = 1.0  # between two lines of a workspace


@dataclass(slots=True)
class QuotaFilter:
    """Takes a token for each request of a workspace with a limit, or refuses it."""

    client: QuotaClient
    metrics: Metrics
    clock: Callable[[], float]
    _logged_at: dict[str, float] = field(default_factory=dict)

    async def __call__(self, request: EntryRequest, proceed: Proceed) -> Outcome:
        """Proceed with a token; return it if the request was not run."""
        workspace = request.workspace
        limit = workspace.limit if workspace is not None else None
        if workspace is None or limit is None:
            return await proceed(request)
        taken = await self._take(request, workspace.name, limit)
        if taken is None:
            self._count(workspace, "deadline")
            return NotRun(Reason.DEADLINE)
        if isinstance(taken, OverLimit):
            self._count(workspace, "refused")
            self._log_refusal(workspace, taken)
            return over_limit_refusal(taken.retry_after)
        outcome: Outcome | None = None  # stays None if the caller leaves
        try:
            outcome = await proceed(request)
        finally:
            if isinstance(outcome, NotRun):
                self.client.give_back(workspace.name, taken)
                self._count(workspace, "returned")
            else:
                self._count(workspace, "used")
        return outcome

    async def _take(
        self, request: EntryRequest, workspace: str, limit: RateLimit
    ) -> TakeResult | None:
        """Take a token; None if the call's deadline is over before an owner has answered."""
        assert request.call is not None and request.configuration is not None
        remaining = max(0.0, request.call.remaining(self.clock()))
        try:
            async with asyncio.timeout(remaining):
                return await self.client.take(workspace, limit, request.configuration.version)
        except TimeoutError:
            return None

    def _count(self, workspace: Workspace, outcome: str) -> None:
        self.metrics.quota_requests.inc({"workspace": workspace.name, "outcome": outcome})

    def _log_refusal(self, workspace: Workspace, refusal: OverLimit) -> None:
        now = self.clock()
        name = workspace.name
        if now - self._logged_at.get(name, -LOG_INTERVAL_SECONDS) < LOG_INTERVAL_SECONDS:
            return
        self._logged_at[name] = now
        use = self.client.use_of(name)
        logs.info(
            "quota-exceeded",
            workspace=name,
            rate=use.limit.rate,
            burst=use.limit.burst,
            owner=use.owner,
            refused=use.refused,
            retry_after=round(refusal.retry_after, 3),
            repeat_key=name,
        )
