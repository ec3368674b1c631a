"""Gives tokens to the requests of one entry, and asks for more when there are none.

At most one ask per workspace is in progress. The requests that arrive meanwhile wait and
share its answer.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from wheatslip.config.bundle import RateLimit
from wheatslip.quota.holder import Token, TokenHolder
from wheatslip.quota.messages import TokenGrant, TokenRequest

from wheatslipd.quota.asker import Answer, OwnerAsker
from wheatslipd.quota.askerrors import log_ask_error
from wheatslipd.telemetry.metrics import Metrics

FAILED_ASK_RETRY_SECONDS = 1.0  # after which callers retry if an ask raised an exception


@dataclass(frozen=True, slots=True)
class OverLimit:
    """No token; the next one is available in `retry_after` seconds."""

    retry_after: float


TakeResult = Token | OverLimit


@dataclass(slots=True, eq=False)
class WorkspaceUse:
    """What this entry knows of one workspace with a limit, and its waiting requests."""

    version: int = 0  # of the bundle with this limit
    limit: RateLimit = field(default_factory=lambda: RateLimit(0.0))
    owner: str = ""  # the daemon that answered last; empty: none has
    used: int = 0  # requests that took a token, without those that gave it back
    refused: int = 0
    is_asking: bool = False
    waiting: deque[asyncio.Future[TakeResult]] = field(default_factory=deque)


class QuotaClient:
    """Takes tokens for the requests of one entry."""

    def __init__(
        self,
        name: str,
        holder: TokenHolder,
        asker: OwnerAsker,
        metrics: Metrics,
        clock: Callable[[], float],
    ):
        """`name` is this daemon's; `clock` is monotonic, in seconds."""
        self._name = name
        self._holder = holder
        self._asker = asker
        self._metrics = metrics
        self._clock = clock
        self._uses: dict[str, WorkspaceUse] = {}
        self._tasks: asyncio.TaskGroup | None = None  # None while `run` does not run

    async def run(self) -> None:
        """Own the asks in progress, until cancelled."""
        async with asyncio.TaskGroup() as self._tasks:
            await asyncio.Event().wait()

    def use_of(self, workspace: str) -> WorkspaceUse:
        """Return what this entry knows of a workspace; empty before its first request."""
        return self._uses.get(workspace) or WorkspaceUse()

    async def take(self, workspace: str, limit: RateLimit, version: int) -> TakeResult:
        """Take a token for one request; wait for the answer of an owner if there is none.

        `limit` is the workspace's in the bundle of `version`.
        """
        use = self._uses.setdefault(workspace, WorkspaceUse())
        now = self._clock()
        if version > use.version:
            if limit != use.limit:
                self._holder.drop_tokens(workspace, now)
            use.version, use.limit = version, limit
        self._holder.on_arrival(workspace, now)
        result = self._try_take(workspace, use, now)
        if result is None:
            result = await self._wait(workspace, use)
        if isinstance(result, OverLimit):
            use.refused += 1
        else:
            use.used += 1
        return result

    def give_back(self, workspace: str, token: Token) -> None:
        """Return the token of a request that was not run."""
        self._uses[workspace].used -= 1
        self._holder.give_back(token, self._clock())

    def _try_take(self, workspace: str, use: WorkspaceUse, now: float) -> TakeResult | None:
        """Take a token or refuse; None if an owner must be asked first."""
        if use.waiting:
            return None  # the requests that wait come first
        token = self._holder.take(workspace, now)
        if token is not None:
            return token
        if self._holder.refused_for(workspace, now) <= 0:
            return None
        return self._refuse(workspace, use, now)

    async def _wait(self, workspace: str, use: WorkspaceUse) -> TakeResult:
        """Wait for a share of the next answer. If cancelled, it is left to other requests."""
        result: asyncio.Future[TakeResult] = asyncio.get_running_loop().create_future()
        use.waiting.append(result)
        if not use.is_asking:
            assert self._tasks is not None, "a request came before the client runs"
            use.is_asking = True
            self._tasks.create_task(self._ask_for_waiting(workspace, use))
        try:
            return await result
        except asyncio.CancelledError:
            if result.done() and not result.cancelled():
                taken = result.result()
                if not isinstance(taken, OverLimit):
                    self._holder.give_back(taken, self._clock())
            else:
                with suppress(ValueError):  # an answer that came meanwhile has removed it
                    use.waiting.remove(result)
            raise

    async def _ask_for_waiting(self, workspace: str, use: WorkspaceUse) -> None:
        """Ask until no request waits."""
        try:
            while use.waiting:
                limit = use.limit
                await self._ask_once(workspace, use)
                if use.limit == limit:  # else the answer is for an older limit
                    self._share_answer(workspace, use)
        finally:
            use.is_asking = False

    async def _ask_once(self, workspace: str, use: WorkspaceUse) -> None:
        started_at = self._clock()
        wanted = self._holder.wanted(workspace, len(use.waiting), started_at)
        limit = use.limit
        request = TokenRequest(
            self._name, workspace, wanted, use.version, limit.rate, limit.burst
        )
        try:
            answer = await self._asker.ask(request)
        except Exception as error:
            # A bug, as in the granter of this daemon. Only the requests that wait are refused.
            log_ask_error(request, error)
            answer = Answer(TokenGrant(0, FAILED_ASK_RETRY_SECONDS), use.owner, started_at)
        now = self._clock()
        self._metrics.quota_ask_seconds.observe({}, now - started_at)
        use.owner = answer.owner
        self._holder.on_grant(workspace, answer.grant, wanted, answer.asked_at, now)

    def _share_answer(self, workspace: str, use: WorkspaceUse) -> None:
        """Give a token to each waiting request, in order of arrival, or refuse it.

        Requests that came after the ask wait for the next one, if all that it asked for
        was granted.
        """
        now = self._clock()
        has_given = False
        while use.waiting:
            waiting = use.waiting[0]
            if not waiting.done():
                token = self._holder.take(workspace, now)
                if token is not None:
                    waiting.set_result(token)
                    has_given = True
                else:
                    if has_given and self._holder.refused_for(workspace, now) <= 0:
                        return
                    waiting.set_result(self._refuse(workspace, use, now))
            use.waiting.popleft()

    def _refuse(self, workspace: str, use: WorkspaceUse, now: float) -> OverLimit:
        return OverLimit(self._holder.retry_after(workspace, use.limit.rate, now))
