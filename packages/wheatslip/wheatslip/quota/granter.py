"""The owner's side of a workspace's rate limit: it grants tokens to entries.

Beyond docs/design/workspace-limits.md, so that the bound holds in the worst case:

- `parts` decides how much of a limit each daemon may grant.
- `Granter.candidates_of` serves the entry of the same daemon too, because the first candidates
  of each workspace among 22,000 members take some 15 ms to compute.
- A new primary passes asks on to the former one (`relay_target`) until that one has declined,
  and a former one grants for `YIELD_SECONDS` more. A primary grants the share of `Reach`.
  docs/design/limits-in-partitions.md describes both.
- With a `list_lease`, a daemon whose list was not confirmed for that long grants at the part of
  the next position and takes over from nobody. Daemons set none: a store that is silent for all
  would end it.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping

from wheatslip.owners import rendezvous_weights
from wheatslip.quota.bucket import MIN_BURST, TokenBucket
from wheatslip.quota.candidates import Candidates
from wheatslip.quota.messages import RelayedAnswer, TokenGrant, TokenRequest
from wheatslip.quota.parts import CANDIDATES, GRANTING_DAEMONS, Part, Parts
from wheatslip.quota.quotastate import (
    SETTLE_SECONDS,
    SILENT_SECONDS,
    YIELD_SECONDS,
    Quota,
    QuotaStats,
    Succession,
    name_position,
)
from wheatslip.quota.reach import Contact, Lost, Reach
from wheatslip.quota.retryschedule import RetrySchedule
from wheatslip.quota.settings import QuotaSettings

NO_POSITION = GRANTING_DAEMONS  # of all others in the rendezvous order
SETTLING_SHARE = 0.5  # of the rate, for `SETTLE_SECONDS` after a list change
RECENT_SECONDS = 5.0  # for which a daemon that left the list may be the former primary
FAILOVER_SHARE = 0.5  # of the rate, for a candidate after a primary that ended
FORGET_SECONDS = 60.0  # without a request; only a full bucket is forgotten
MAX_WORKSPACES = 4096  # limits memory


class Granter:
    """Grants tokens for the workspaces of which this daemon is a candidate.

    Times are in seconds, monotonic. `list_lease` is the time after which an unconfirmed list is
    not relied on; it must be shorter than the time after which silent daemons are removed from
    the list. By default the last list counts for ever.
    """

    def __init__(self, name: str, settings: QuotaSettings, list_lease: float = float("inf")):
        self._name = name
        self._settings = settings
        self._parts = Parts(settings)
        self._list_lease = list_lease
        self._lapses_at = float("inf")
        self._candidates = Candidates(GRANTING_DAEMONS)
        self._quotas: OrderedDict[str, Quota] = OrderedDict()  # least recently asked first
        self._members_since = float("inf")  # no list yet
        self._started_at = float("inf")  # when the first list came
        self.reach = Reach(name)
        self._share = 1.0  # of rate and burst, at a primary
        self._left_at: dict[str, float] = {}  # daemons that left the list lately
        self._evicted_at = float("-inf")  # last time a bucket was forgotten that was not full

    def set_members(self, names: Iterable[str], now: float, lost: Collection[str] = ()) -> None:
        """Applies the list of daemons, which is thereby confirmed.

        Of those that it no longer has, `lost` have not been listed as leaving.
        """
        self.confirm_members(now)
        listed = tuple(names)
        members, before = frozenset(listed), self._candidates.members
        if members == before:
            return
        removed = before - members
        self.reach.set_members(listed, removed & frozenset(lost), now)
        self._left_at = {
            name: time
            for name, time in (self._left_at | dict.fromkeys(removed, now)).items()
            if name not in members and now - time < RECENT_SECONDS
        }
        self._candidates.set_members(members)
        self._members_since = now
        self._started_at = min(self._started_at, now)
        for workspace, quota in self._quotas.items():
            position = self._position_of(workspace)
            if position != quota.position:
                self._advance(quota, now)
                quota.move(position, now)
                self._apply(quota, now)
        self._update_share(now)

    def on_probes(self, contacts: Mapping[str, Contact], now: float) -> None:
        """Records which daemons are in touch, of those that `reach` names for a round."""
        self.reach.on_round(contacts, now)
        self._update_share(now)

    def learn_lost(self, lost: Mapping[str, Lost], now: float) -> frozenset[str]:
        """Applies losses that another daemon knows of; returns the names that are new."""
        new = self.reach.learn_lost(lost, now)
        self._update_share(now)
        return new

    @property
    def has_list(self) -> bool:
        """Whether a list of daemons was applied."""
        return bool(self._candidates.members)

    @property
    def share(self) -> float:
        """The share of a limit's rate and burst that this daemon grants as the primary."""
        return self._share

    def was_primary_since(self, time: float) -> bool:
        """Whether this daemon was asked as the primary of a workspace since then."""
        return any(q.position == 0 and q.asked_at >= time for q in self._quotas.values())

    def relay_target(self, request: TokenRequest, now: float) -> str | None:
        """The daemon to which to pass an ask on; None: grant.

        It is the former primary until that one grants no more. Another daemon than the primary
        passes on to it what it gets from entries that could not reach it or have another list.
        """
        quota = self._quotas.get(request.workspace) or self._create(request, now)
        is_yielding = now < quota.yields_until
        if quota.succession is Succession.DONE or is_yielding or now < quota.silent_until:
            return None
        if quota.position != 0:
            is_own_bucket = quota.position >= CANDIDATES and request.sender == self._name
            if is_own_bucket or request.failover:
                return None
            return next(iter(self._candidates.of(request.workspace)), None)
        former = self._former_of(request.workspace, now)
        if former is None:
            quota.succession = Succession.DONE
        return former

    def is_settling(self, workspace: str, now: float) -> bool:
        """Whether this daemon became the primary of a workspace lately, so that a former one
        may still have the list that names it.
        """
        quota = self._quotas.get(workspace)
        return quota is not None and quota.position == 0 and not quota.grants_in_full(now)

    def on_declined(self, workspace: str, answer: RelayedAnswer, now: float) -> None:
        """The former primary has declined. What its bucket held moves here."""
        quota = self._quotas.get(workspace)
        if quota is None:
            return
        if quota.position != 0 or answer.primary != self._name:
            self.on_silent(workspace, now)
            return
        self._advance(quota, now)
        quota.succession = Succession.DONE
        if now >= quota.since + SETTLE_SECONDS or not answer.has_yielded:
            return  # settled, or after a start, when others may have taken over lately
        quota.since = now - SETTLE_SECONDS
        self._apply(quota, now)
        level = min(quota.bucket.level, self._first_tokens(quota))
        quota.bucket.level = min(quota.bucket.burst, level + answer.grant.tokens)

    def on_refused(self, workspace: str, now: float) -> None:
        """The daemon to which asks were passed on has ended."""
        quota = self._quotas.get(workspace)
        if quota is None:
            return
        if quota.position == 0:
            quota.succession = Succession.DONE
        else:
            quota.silent_until = now + SILENT_SECONDS

    def on_silent(self, workspace: str, now: float) -> None:
        """The former primary, or another candidate's primary, may still grant.

        After a start, machines that do not return are silent, so that the primary settles as if
        they had ended.
        """
        quota = self._quotas.get(workspace)
        if quota is None:
            return
        self._advance(quota, now)
        if quota.since > self._started_at:
            quota.succession = Succession.SILENT
        # A primary does not ask again: the entries that wait meanwhile would leave it out.
        quota.silent_until = float("inf") if quota.position == 0 else now + SILENT_SECONDS
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

    def grant_relayed(self, request: TokenRequest, now: float) -> RelayedAnswer:
        """Grants what another daemon has passed on, if this one is the primary or yields.

        A primary that passes asks on itself declines.
        """
        quota = self._quotas.get(request.workspace) or self._create(request, now)
        if now >= quota.yields_until and not quota.grants_in_full(now):
            self._advance(quota, now)
            first = next(iter(self._candidates.of(request.workspace)), self._name)
            has_yielded = now - quota.yields_until < RECENT_SECONDS
            return RelayedAnswer(TokenGrant(quota.take_leftover()), first, has_yielded)
        self._advance(quota, now)
        has_yielded_before = quota.yields(now)
        quota.relayed_at = now
        if quota.yields(now) and not has_yielded_before:
            self._apply(quota, now)
            quota.bucket.level = min(quota.bucket.burst, quota.take_leftover())
        return RelayedAnswer(self.grant(request, now))

    def grant(self, request: TokenRequest, now: float) -> TokenGrant:
        quota = self._quotas.get(request.workspace) or self._create(request, now)
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
                name_position(self._effective_position(quota, now)),
            )
            for workspace, quota in self._quotas.items()
        )

    def _create(self, request: TokenRequest, now: float) -> Quota:
        """Makes the bucket as if it had existed since the last change of the list."""
        self._forget(now)
        if len(self._quotas) >= MAX_WORKSPACES:
            self._quotas.popitem(last=False)
            self._evicted_at = now
        since = min(now, self._members_since)
        quota = Quota(
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

    def _first_tokens(self, quota: Quota) -> float:
        if quota.position != 0:
            return 0.0
        return self._parts.first_tokens(quota.rate, quota.burst)

    def _former_of(self, workspace: str, now: float) -> str | None:
        """The first other daemon in rendezvous order that is listed, or was until lately."""
        listed = [name for name in self._candidates.of(workspace) if name != self._name][:1]
        recent = [n for n, time in self._left_at.items() if now - time < RECENT_SECONDS]
        names = [*listed, *recent]
        weighted = zip(rendezvous_weights(workspace, names), names, strict=True)
        return max(weighted, default=(b"", None))[1]

    def _update_share(self, now: float) -> None:
        share = self.reach.share(now)
        if share == self._share:
            return
        for quota in self._quotas.values():
            self._advance(quota, now)
        self._share = share
        for quota in self._quotas.values():
            self._apply(quota, now)

    def _position_of(self, workspace: str) -> int:
        order = self._candidates.of(workspace)
        return order.index(self._name) if self._name in order else NO_POSITION

    def _advance(self, quota: Quota, now: float) -> None:
        """Refills until `now`, with the rates that changed in between."""
        times = (
            quota.since + YIELD_SECONDS,
            quota.since + SETTLE_SECONDS,
            quota.failover_until,
            quota.yields_until,
            quota.relayed_at + YIELD_SECONDS,
            self._lapses_at,
        )
        for time in sorted(times):
            if quota.bucket.now < time <= now:
                yielded = quota.yields(quota.bucket.now) and not quota.yields(time)
                level = quota.bucket.level_at(time)
                self._apply(quota, time)
                if yielded:
                    quota.leftover = int(max(0.0, level - quota.bucket.level))

    def _apply(self, quota: Quota, now: float) -> None:
        part = self._part(quota, now)
        quota.bucket.change(part.rate, part.burst, now)

    def _part(self, quota: Quota, now: float) -> Part:
        position = self._effective_position(quota, now)
        if position == 0:
            return self._primary_part(quota, now)
        part = self._parts.of_margin(position, quota.rate, quota.burst)
        if position < CANDIDATES and now < min(quota.failover_until, self._lapses_at):
            return Part(max(part.rate, FAILOVER_SHARE * quota.rate), part.burst)
        return part

    def _primary_part(self, quota: Quota, now: float) -> Part:
        if quota.succession is Succession.SILENT and now < quota.since + YIELD_SECONDS:
            return self._parts.of_margin(1, quota.rate, quota.burst)
        is_settled = (
            now >= quota.since + SETTLE_SECONDS
            or quota.succession is Succession.SILENT
            or quota.yields(now)
        )
        share = self._share * (1.0 if is_settled else SETTLING_SHARE)
        burst = max(MIN_BURST, self._share * self._parts.primary_burst(quota.burst))
        return Part(share * quota.rate, burst)

    def _effective_position(self, quota: Quota, now: float) -> int:
        """The position, one later while the list is not confirmed; own buckets keep theirs.

        A former primary keeps its position until it has yielded.
        """
        if quota.yields(now):
            return 0
        if now >= self._lapses_at and quota.position < CANDIDATES:
            return quota.position + 1
        return quota.position

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
