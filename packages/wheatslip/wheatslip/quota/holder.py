"""The entry's side of a workspace's rate limit: the tokens that it holds, and when to ask.

`TokenHolder.retry_after` tells a refused caller when to retry. It starts from the time in the
last grant, which considers the asks of all entries (`wheatslip.quota.retryschedule`), and adds
the callers that this entry refused before. `TokenHolder.drop_tokens` keeps tokens of a higher
limit from being used once a lower one is known.
"""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from wheatslip.quota.messages import TokenGrant
from wheatslip.quota.retryschedule import RetrySchedule
from wheatslip.quota.settings import QuotaSettings

MAX_AHEAD = 1000  # tokens that are asked for beside those for waiting requests
MAX_REFUSE_SECONDS = 0.25  # for which requests are refused without asking
RATE_MEMORY_SECONDS = 2.0  # time constant of the rates of arrivals and of shortage
MAX_WORKSPACES = 4096  # limits memory; the least recently used one is evicted


@dataclass(frozen=True, slots=True)
class Token:
    """The right to send one request of a workspace before `expires` (seconds, monotonic)."""

    workspace: str
    expires: float


@dataclass(slots=True)
class _WorkspaceState:
    """State of one workspace. `expiries` are those of its tokens, in any order."""

    expiries: deque[float] = field(default_factory=deque)
    arrivals: float = 0.0  # decayed number of requests
    arrivals_at: float = float("-inf")
    refuse_until: float = float("-inf")
    retry_at: float = float("-inf")  # when the next token comes, by the last grant
    retries: RetrySchedule = field(default_factory=RetrySchedule)  # of callers refused here
    granted_wait: float = 0.0  # `retry_after` of the last grant that refused somebody
    waiting: int = 0  # at the last ask
    max_ahead: int = 0  # tokens to ask for beside those
    shortage: float = 0.0  # decayed number of tokens that were not granted
    shortage_at: float = float("-inf")
    asked_at: float = float("-inf")  # when the last grant was asked for
    dropped_at: float = float("-inf")  # when tokens asked for before were dropped


class TokenHolder:
    """The tokens of one entry, by workspace. Times are in seconds, monotonic."""

    def __init__(self, settings: QuotaSettings):
        self._settings = settings
        self._workspaces: OrderedDict[str, _WorkspaceState] = OrderedDict()

    def on_arrival(self, workspace: str, now: float) -> None:
        """Records a request, whether it is served or not."""
        state = self._of(workspace)
        state.arrivals = _decayed(state.arrivals, now - state.arrivals_at) + 1.0
        state.arrivals_at = now

    def take(self, workspace: str, now: float) -> Token | None:
        """Uses a token that has not expired; None if there is none."""
        state = self._workspaces.get(workspace)
        if state is None:
            return None
        while state.expiries:
            expires = state.expiries.popleft()
            if expires > now:
                return Token(workspace, expires)
        return None

    def wanted(self, workspace: str, waiting: int, now: float) -> int:
        """Tokens to ask for, if `waiting` requests have none.

        Adds the arrivals expected within a token's lifetime, less one standard deviation,
        because a token that expires unused is lost to the workspace. The addition grows by one
        token with each full grant and is halved by the others, because the owner may hold less
        than one entry expects to use.
        """
        state = self._of(workspace)
        expected = (
            _decayed(state.arrivals, now - state.arrivals_at)
            / RATE_MEMORY_SECONDS
            * self._settings.token_lifetime
        )
        live = sum(expires > now for expires in state.expiries)
        ahead = min(state.max_ahead, max(0, math.floor(expected - math.sqrt(expected))))
        state.waiting = waiting
        return waiting + max(0, ahead - live)

    def on_grant(
        self, workspace: str, grant: TokenGrant, wanted: int, asked_at: float, now: float
    ) -> None:
        """Keeps the tokens of a grant of which `wanted` were asked for at `asked_at`.

        They live from `asked_at`, so neither a slow answer nor a frozen process prolongs them.
        A repeated answer, or one that a later answer has overtaken, is ignored.
        """
        state = self._of(workspace)
        if asked_at <= state.asked_at or asked_at < state.dropped_at:
            return
        state.asked_at = asked_at
        expires = asked_at + self._settings.token_lifetime
        if expires > now:
            state.expiries.extend([expires] * min(grant.tokens, wanted))
        if grant.tokens < wanted:
            state.max_ahead = max(0, grant.tokens - state.waiting) // 2
        else:
            state.max_ahead = min(state.max_ahead + 1, MAX_AHEAD)
        if grant.tokens < min(wanted, state.waiting):
            state.shortage = _decayed(state.shortage, now - state.shortage_at)
            state.shortage += wanted - grant.tokens
            state.shortage_at = now
            state.granted_wait = grant.retry_after
            state.retry_at = now + grant.retry_after
            state.refuse_until = now + min(MAX_REFUSE_SECONDS, grant.retry_after)
        else:
            state.retry_at = state.refuse_until = float("-inf")

    def refused_for(self, workspace: str, now: float) -> float:
        """Seconds for which to refuse without asking; 0: ask."""
        state = self._workspaces.get(workspace)
        return 0.0 if state is None else max(0.0, state.refuse_until - now)

    def retry_after(self, workspace: str, rate: float, now: float) -> float:
        """Seconds after which a caller that is refused now should retry.

        Each refused caller puts the next one later. If the owner's time is longer than this
        entry's own asks account for, other entries ask as well and refuse as many callers as
        this one. `rate` is the workspace's limit.
        """
        state = self._of(workspace)
        shortage = max(1.0, _decayed(state.shortage, now - state.shortage_at))
        entries = max(1.0, state.granted_wait * rate / shortage)
        return state.retries.retry_after(max(0.0, state.retry_at - now), 1, rate / entries, now)

    def give_back(self, token: Token, now: float) -> None:
        """Returns the token of a request that did not run."""
        state = self._of(token.workspace)
        asked_at = token.expires - self._settings.token_lifetime
        if token.expires > now and asked_at >= state.dropped_at:
            state.expiries.appendleft(token.expires)

    def drop_tokens(self, workspace: str, now: float) -> None:
        """Drops the tokens when the limit changes, also those of an ask in progress."""
        state = self._of(workspace)
        state.expiries.clear()
        state.refuse_until = float("-inf")
        state.dropped_at = now

    def _of(self, workspace: str) -> _WorkspaceState:
        state = self._workspaces.get(workspace)
        if state is None:
            state = self._workspaces[workspace] = _WorkspaceState()
            if len(self._workspaces) > MAX_WORKSPACES:
                self._workspaces.popitem(last=False)
        else:
            self._workspaces.move_to_end(workspace)
        return state


def _decayed(count: float, seconds: float) -> float:
    return count * math.exp(-max(0.0, seconds) / RATE_MEMORY_SECONDS)
