"""The owner's side of a workspace's rate limit: it grants tokens to entries.

Beyond docs/design/workspace-limits.md, so that the bound holds in the worst case:

- The parts of the margin include what a bucket holds (`_Part`).
- A part of the slack is kept for the tokens that a restarted primary starts with. Those are
  also at most half a second's refill, so that a restart loop does not multiply them.
- A primary's bucket holds a part of the slack if the burst is smaller. Requests arrive at
  random, so a bucket of one or two tokens would refuse many of a workspace below its limit.
- Of the daemons that are not a candidate, only the next `OWN_BUCKETS` in rendezvous order have
  a bucket of their own. A bucket holds at least one token, and one token at each daemon would
  exceed the slack.
- `Granter.candidates_of` serves the entry of the same daemon too, because the first candidates
  of each workspace among 22,000 members take some 15 ms to compute.
- With a `list_lease`, a daemon whose list was not confirmed for that long grants at the part of
  the next position and takes over from nobody. Without one, a primary that is cut off from the
  store still grants at the full rate after the others have removed it from the list.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from wheatslip.quota.bucket import MIN_BURST, TokenBucket
from wheatslip.quota.candidates import Candidates
from wheatslip.quota.messages import TokenGrant, TokenRequest
from wheatslip.quota.retryschedule import RetrySchedule
from wheatslip.quota.settings import QuotaSettings

CANDIDATES = 3  # daemons that an entry asks, in this order
OWN_BUCKETS = 2  # further daemons that may grant a few tokens to themselves
GRANTING_DAEMONS = CANDIDATES + OWN_BUCKETS  # the others' buckets stay empty
NO_POSITION = GRANTING_DAEMONS  # of all others in the rendezvous order
SETTLE_SECONDS = 3.0  # by then every entry has the list that made a daemon the primary
SETTLING_SHARE = 0.5  # of the rate, until then
FAILOVER_SHARE = 0.5  # of the rate, for a candidate after a primary that ended
SECOND_SHARE, THIRD_SHARE, OWN_SHARE = 0.5, 0.25, 0.25  # of the margin
RESTART_SLACK_SHARE = 0.15  # of the slack, for the first tokens of a restarted primary
SMALL_BURST_SLACK_SHARE = 0.5  # of the slack: what the bucket of a primary holds at least
RESTART_SECONDS = 0.5  # of refill, at most, for the same
PART_BURST_SHARE = 0.25  # of a part of the margin: what its bucket holds
FORGET_SECONDS = 60.0  # without a request; only a full bucket is forgotten
MAX_WORKSPACES = 4096  # limits memory


class Position(StrEnum):
    """Name of this daemon's position in a workspace's rendezvous order."""

    PRIMARY = "primary"
    SECOND = "second"
    THIRD = "third"
    NONE = "none"


_CANDIDATE_POSITIONS = (Position.PRIMARY, Position.SECOND, Position.THIRD)


@dataclass(frozen=True, slots=True)
class QuotaStats:
    """State of one workspace for the status page; `granted` and `refused` count tokens."""

    workspace: str
    rate: float
    burst: float
    granted: int
    refused: int
    position: Position


@dataclass(frozen=True, slots=True)
class _Part:
    """Refill and size of a bucket that grants at most `tokens` in a window and a lifetime."""

    rate: float
    burst: float

    @classmethod
    def of(cls, tokens: float, seconds: float) -> "_Part":
        if tokens < MIN_BURST:
            return cls(0.0, MIN_BURST)
        burst = max(MIN_BURST, PART_BURST_SHARE * tokens)
        return cls((tokens - burst) / seconds, burst)


@dataclass(slots=True)
class _Quota:
    """One workspace.

    `position` is this daemon's index in the rendezvous order, 0 for the primary. `since` is
    when it got there, or when the list was confirmed after a lapse.
    """

    version: int
    rate: float
    burst: float
    position: int
    since: float
    bucket: TokenBucket
    retries: RetrySchedule
    asked_at: float
    failover_until: float = float("-inf")
    granted: int = 0
    refused: int = 0


class Granter:
    """Grants tokens for the workspaces of which this daemon is a candidate.

    Times are in seconds, monotonic. `list_lease` is the time after which an unconfirmed list is
    not relied on; it must be shorter than the time after which silent daemons are removed from
    the list. By default the last list counts for ever.
    """

    def __init__(self, name: str, settings: QuotaSettings, list_lease: float = float("inf")):
        self._name = name
        self._settings = settings
        self._list_lease = list_lease
        self._lapses_at = float("inf")
        self._candidates = Candidates(GRANTING_DAEMONS)
        self._quotas: OrderedDict[str, _Quota] = OrderedDict()  # least recently asked first
        self._members_since = float("inf")  # no list yet
        self._evicted_at = float("-inf")  # last time a bucket was forgotten that was not full

    def set_members(self, names: Iterable[str], now: float) -> None:
        """Applies the list of daemons, which is thereby confirmed."""
        self.confirm_members(now)
        members = frozenset(names)
        if members == self._candidates.members:
            return
        self._candidates.set_members(members)
        self._members_since = now
        for workspace, quota in self._quotas.items():
            position = self._position_of(workspace)
            if position != quota.position:
                self._advance(quota, now)
                quota.position = position
                quota.since = now
                self._apply(quota, now)

    def candidates_of(self, workspace: str) -> tuple[str, ...]:
        """The listed daemons that an entry asks, in this order."""
        return self._candidates.of(workspace)[:CANDIDATES]

    def confirm_members(self, now: float) -> None:
        """The store was reached and has this list. After a lapse, primaries settle again."""
        if now >= self._lapses_at:
            self._members_since = now
            for quota in self._quotas.values():
                self._advance(quota, now)
                quota.since = now
        self._lapses_at = now + self._list_lease

    def grant(self, request: TokenRequest, now: float) -> TokenGrant:
        quota = self._quotas.get(request.workspace)
        if quota is None:
            quota = self._create(request, now)
        self._quotas.move_to_end(request.workspace)
        self._advance(quota, now)
        quota.asked_at = now
        if request.version > quota.version:
            quota.version = request.version
            quota.rate = request.rate
            quota.burst = request.burst
        if request.failover:
            quota.failover_until = now + self._settings.token_lifetime
        self._apply(quota, now)
        if quota.rate <= 0:  # the newest version has no limit
            quota.granted += request.tokens
            return TokenGrant(request.tokens)
        granted = quota.bucket.take(request.tokens, now)
        refused = request.tokens - granted
        quota.granted += granted
        if refused <= 0:
            return TokenGrant(granted)
        quota.refused += refused
        wait = quota.bucket.wait(now)
        return TokenGrant(
            granted, quota.retries.retry_after(wait, refused, quota.bucket.rate, now)
        )

    def stats(self, now: float) -> tuple[QuotaStats, ...]:
        self._forget(now)
        return tuple(
            QuotaStats(
                workspace,
                quota.rate,
                quota.burst,
                quota.granted,
                quota.refused,
                _name_position(self._effective_position(quota, now)),
            )
            for workspace, quota in self._quotas.items()
        )

    def _create(self, request: TokenRequest, now: float) -> _Quota:
        """Makes the bucket as if it had existed since the last change of the list."""
        self._forget(now)
        if len(self._quotas) >= MAX_WORKSPACES:
            self._quotas.popitem(last=False)
            self._evicted_at = now
        since = min(now, self._members_since)
        quota = _Quota(
            version=request.version,
            rate=request.rate,
            burst=request.burst,
            position=self._position_of(request.workspace),
            since=since,
            bucket=TokenBucket(rate=0.0, burst=MIN_BURST, level=0.0, now=since),
            retries=RetrySchedule(),
            asked_at=now,
        )
        self._apply(quota, since)
        if since > self._evicted_at:
            quota.bucket.level = self._first_tokens(quota)
        else:
            quota.bucket.now = self._evicted_at
        self._quotas[request.workspace] = quota
        return quota

    def _first_tokens(self, quota: _Quota) -> float:
        if quota.position != 0:
            return 0.0
        return min(
            self._primary_burst(quota.burst),
            RESTART_SLACK_SHARE * self._settings.slack,
            max(1.0, RESTART_SECONDS * quota.rate),
        )

    def _position_of(self, workspace: str) -> int:
        order = self._candidates.of(workspace)
        return order.index(self._name) if self._name in order else NO_POSITION

    def _advance(self, quota: _Quota, now: float) -> None:
        """Refills until `now`, with the rates that changed in between."""
        times = (quota.since + SETTLE_SECONDS, quota.failover_until, self._lapses_at)
        for time in sorted(times):
            if quota.bucket.now < time <= now:
                self._apply(quota, time)

    def _apply(self, quota: _Quota, now: float) -> None:
        part = self._part(quota, now)
        quota.bucket.change(part.rate, part.burst, now)

    def _part(self, quota: _Quota, now: float) -> _Part:
        position = self._effective_position(quota, now)
        if position == 0:
            is_settled = now >= quota.since + SETTLE_SECONDS
            share = 1.0 if is_settled else SETTLING_SHARE
            return _Part(share * quota.rate, self._primary_burst(quota.burst))
        part = self._margin_part(quota, position)
        if position < CANDIDATES and now < min(quota.failover_until, self._lapses_at):
            return _Part(max(part.rate, FAILOVER_SHARE * quota.rate), part.burst)
        return part

    def _effective_position(self, quota: _Quota, now: float) -> int:
        """The position, one later while the list is not confirmed; own buckets keep theirs."""
        if now >= self._lapses_at and quota.position < CANDIDATES:
            return quota.position + 1
        return quota.position

    def _margin_part(self, quota: _Quota, position: int) -> _Part:
        """The part of the margin for a position after the primary's."""
        margin = self._margin(quota.rate, quota.burst)
        seconds = self._settings.window + self._settings.token_lifetime
        if position == 1:
            return _Part.of(SECOND_SHARE * margin, seconds)
        if position == 2:
            return _Part.of(THIRD_SHARE * margin, seconds)
        if position < GRANTING_DAEMONS:
            return _Part.of(OWN_SHARE * margin / OWN_BUCKETS, seconds)
        return _Part(0.0, MIN_BURST)

    def _margin(self, rate: float, burst: float) -> float:
        """Tokens of a window that the bound leaves beside those of the primary."""
        settings = self._settings
        bound = (rate * settings.window + burst) * (1 + settings.overage) + settings.slack
        primary = rate * (settings.window + settings.token_lifetime) + self._primary_burst(
            burst
        )
        return bound - primary - RESTART_SLACK_SHARE * settings.slack

    def _primary_burst(self, burst: float) -> float:
        """Tokens that the bucket of a primary holds, for a limit with `burst`."""
        return max(MIN_BURST, burst, SMALL_BURST_SLACK_SHARE * self._settings.slack)

    def _forget(self, now: float) -> None:
        """Forgets workspaces whose bucket is full; a new bucket would not hold more."""
        while self._quotas:
            workspace, quota = next(iter(self._quotas.items()))
            if now - quota.asked_at < FORGET_SECONDS:
                return
            self._advance(quota, now)
            self._apply(quota, now)
            if not quota.bucket.is_full(now):
                return
            del self._quotas[workspace]


def _name_position(position: int) -> Position:
    return _CANDIDATE_POSITIONS[position] if position < CANDIDATES else Position.NONE
