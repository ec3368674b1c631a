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
- Only an active daemon grants at the full rate (`wheatslip.quota.handover`). The others grant
  parts of the margin, by their positions. A removed daemon that may be active keeps its
  position for that time, so that the parts of two lists are not granted at the same time.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from wheatslip.quota.bucket import MIN_BURST, TokenBucket
from wheatslip.quota.candidates import Candidates
from wheatslip.quota.handover import LIST_LEASE_SECONDS, SETTLE_SECONDS, Handover, Takeover
from wheatslip.quota.messages import (
    TakeoverAnswer,
    TakeoverRequest,
    TokenGrant,
    TokenRequest,
)
from wheatslip.quota.retryschedule import RetrySchedule
from wheatslip.quota.settings import QuotaSettings

CANDIDATES = 3  # daemons that an entry asks, in this order
OWN_BUCKETS = 2  # further daemons that may grant a few tokens to themselves
GRANTING_DAEMONS = CANDIDATES + OWN_BUCKETS  # the others' buckets stay empty
NO_POSITION = GRANTING_DAEMONS  # of all others in the rendezvous order
SETTLING_SHARE = 0.5  # of the rate, for `SETTLE_SECONDS`
FAILOVER_SHARE = 0.5  # of the rate, for a candidate after a primary that ended
SECOND_SHARE, THIRD_SHARE, OWN_SHARE = 0.5, 0.25, 0.25  # of the margin
WAITING_POSITION = 2  # whose part a primary gets that is not active yet
RESTART_SLACK_SHARE = 0.15  # of the slack, for the first tokens of a restarted primary
SMALL_BURST_SLACK_SHARE = 0.5  # of the slack: what the bucket of a primary holds at least
RESTART_SECONDS = 0.5  # of refill, at most, for the same
PART_BURST_SHARE = 0.25  # of a part of the margin: what its bucket holds
FORGET_SECONDS = 60.0  # without a request; only a full bucket is forgotten
MAX_WORKSPACES = 4096  # limits memory


class HandoverState(StrEnum):
    """Whether the first candidate of a workspace grants at the full rate."""

    ACTIVE = "active"
    DECLINING = "declining"  # another daemon is active
    WAITING = "waiting"  # another daemon may be active; it grants a part of the margin


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

    workspace: str
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
    not relied on.
    """

    def __init__(
        self, name: str, settings: QuotaSettings, list_lease: float = LIST_LEASE_SECONDS
    ):
        self._name = name
        self._settings = settings
        self._candidates = Candidates(GRANTING_DAEMONS)
        self._handover = Handover(name, self._candidates, list_lease)
        self._quotas: OrderedDict[str, _Quota] = OrderedDict()  # least recently asked first
        self._received: dict[str, tuple[float, float]] = {}  # tokens and time, by workspace
        self._members_since = float("inf")  # no list yet
        self._leaving: frozenset[str] = frozenset()
        self._evicted_at = float("-inf")  # last time a bucket was forgotten that was not full

    def set_members(
        self, names: Iterable[str], now: float, leaving: Collection[str] = ()
    ) -> None:
        """Applies the list of daemons; `leaving` are those that are listed as such.

        The list is relied on only after `confirm_members`.
        """
        members = frozenset(names)
        has_changed = members != self._candidates.members
        if not has_changed and frozenset(leaving) == self._leaving:
            return
        self._leaving = frozenset(leaving)
        for quota in self._quotas.values():
            self._advance(quota, now)
        self._candidates.set_members(members)
        self._handover.set_members(members, leaving, now)
        if has_changed:
            self._members_since = now
        for workspace, quota in self._quotas.items():
            position = self._position_of(workspace)
            if position != quota.position:
                quota.position = position
                if not self._handover.is_active(workspace, now):
                    quota.since = now
            self._apply(quota, now)

    def candidates_of(self, workspace: str) -> tuple[str, ...]:
        """The listed daemons that an entry asks, in this order."""
        return self._candidates.of(workspace)[:CANDIDATES]

    def confirm_members(self, confirmed_at: float, now: float) -> None:
        """The store had this list at `confirmed_at`. After a lapse, primaries settle again."""
        for quota in self._quotas.values():
            self._advance(quota, now)
        if self._handover.confirm(confirmed_at, now):
            self._members_since = now
            for quota in self._quotas.values():
                quota.since = now
                self._apply(quota, now)

    def is_declining(self, workspace: str, now: float) -> bool:
        """Whether an entry should ask the next candidate, because another daemon is active.

        A daemon that is no candidate in its own list may be one in a list that it lacks yet.
        """
        is_candidate = self._name in self.candidates_of(workspace)
        return not is_candidate or self._handover.is_declining(workspace, now)

    def state_of(self, workspace: str, now: float) -> HandoverState:
        """Whether this daemon is active for a workspace, for logs."""
        if self._handover.is_active(workspace, now):
            return HandoverState.ACTIVE
        if self._handover.is_declining(workspace, now):
            return HandoverState.DECLINING
        return HandoverState.WAITING

    def begin_takeover(self, workspace: str, now: float) -> Takeover | None:
        """The takeover that must be made before tokens are granted; None if none is due."""
        return self._handover.begin(workspace, now)

    def takeover_request(self, takeover: Takeover, owner: str) -> TakeoverRequest:
        return self._handover.request_to(takeover, owner)

    def finish_takeover(self, takeover: Takeover, now: float) -> None:
        """Becomes active if the answers allow it. Tokens of the former active daemon move."""
        quota = self._quotas.get(takeover.workspace)
        if quota is not None:
            self._advance(quota, now)
        tokens = self._handover.finish(takeover, now)
        if tokens is not None:
            self._received[takeover.workspace] = (tokens, now)
        if quota is not None:
            self._receive(quota)
            self._apply(quota, now)

    def answer_takeover(self, request: TakeoverRequest, now: float) -> TakeoverAnswer:
        quota = self._quotas.get(request.workspace)
        if quota is not None:
            self._advance(quota, now)
        answer = self._handover.answer(request, now)
        if quota is None or not answer.is_active or answer.seconds > 0:
            return answer
        tokens = quota.bucket.level
        quota.bucket.level = 0.0
        self._apply(quota, now)
        return msgspec.structs.replace(answer, tokens=tokens)

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
            self._handover.note_failover(request.workspace, now)
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
            workspace=request.workspace,
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
        self._receive(quota)
        self._quotas[request.workspace] = quota
        return quota

    def _receive(self, quota: _Quota) -> None:
        """Puts the tokens of a daemon that yielded into the bucket; nobody else grants."""
        received = self._received.pop(quota.workspace, None)
        if received is None:
            return
        tokens, at = received
        quota.since = at - SETTLE_SECONDS
        self._apply(quota, at)
        quota.bucket.level = min(tokens, quota.bucket.burst)
        quota.bucket.now = at

    def _first_tokens(self, quota: _Quota) -> float:
        if not self._handover.is_active(quota.workspace, quota.asked_at):
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
        times = (
            quota.since + SETTLE_SECONDS,
            quota.failover_until,
            self._handover.lapses_at,
            self._handover.active_until(quota.workspace),
        )
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
        takes_over_until = min(quota.failover_until, self._handover.lapses_at)
        if quota.position < CANDIDATES and now < takes_over_until:
            return _Part(max(part.rate, FAILOVER_SHARE * quota.rate), part.burst)
        return part

    def _effective_position(self, quota: _Quota, now: float) -> int:
        """0 if this daemon is active, else the position whose part of the margin it gets.

        While the list is not confirmed, it is one later; own buckets keep theirs.
        """
        if self._handover.is_active(quota.workspace, now):
            return 0
        if now >= self._handover.lapses_at and quota.position < CANDIDATES:
            return quota.position + 1
        position = quota.position + self._handover.uncertain_before(quota.workspace, now)
        return position or WAITING_POSITION

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
