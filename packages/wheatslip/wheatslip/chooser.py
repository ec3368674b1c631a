"""Choosing the backend server for a request.

Pure decision code. An entry knows exactly what it has in flight itself, and of the rest only
load reports that rode back on answers and are stale on arrival. The chooser discounts them
by age, compares a few candidates drawn at random so that entries do not herd, and learns
from refusals and failures at once.
"""

from collections.abc import Sequence, Set
from dataclasses import dataclass, field
from math import exp
from random import Random

from wheatslip.call import ANY_WAIT
from wheatslip.hop import LoadReport

# Load at a server changes completely in about the time that one request takes there, so a
# report is trusted for this many service times (to 1/e).
TRUST_SERVICE_TIMES = 4.0
# What an entry has in flight itself is exact but a small part of the load; reports show all
# of it but are stale and the same for many entries. See docs/DECISIONS.md for the weights.
OWN_WEIGHT = 2.0
REPORT_WEIGHT = 0.5
POOL_LOAD_WEIGHT = 0.05  # weight of one report in the mean load of a pool
INITIAL_SERVICE = 0.005  # seconds
INITIAL_LIMIT = 8.0
MIN_SERVICE = 1e-6  # seconds
# Service times that differ by less are taken as equal: following noise makes entries herd.
SAME_SERVICE = 1.5
FAILURE_FIRST_PAUSE = 0.2  # seconds
FAILURE_LAST_PAUSE = 5.0
DEAD_AFTER = 15.0  # seconds without a connection; longer than a restart or a short cut
DEAD_AFTER_FAILURES = 4
WARM_UP_FLOOR = 0.05  # the part of its turns that a new upstream gets at first
SLOWNESS_MEMORY = 0.05  # seconds in which a report of slowness falls to 1/e
COST_JITTER = 0.02
FAR_CANDIDATES = 2  # compared from other availability zones, at least
# Expected wait, in service times, at a server that is just full; how it rises up to there,
# and how steeply beyond.
CROWDING = 1.0
CROWDING_POWER = 2
CROWDING_BEYOND = 2.0
ERROR_WEIGHT = 0.3
ERROR_MEMORY = 1.0  # seconds in which an error rate falls to 1/e
ERROR_COST = 1.0  # seconds that a certain failure costs
UNHEALTHY_FACTOR = 2.0  # how much dearer an upstream is that only the list calls unhealthy
VOUCHED_SECONDS = 5.0  # how long a good answer outweighs the list


@dataclass(slots=True, eq=False)
class Upstream:
    """What one entry knows of one backend server. Times are seconds, monotonic."""

    name: str
    zone: str
    joined: float = 0.0  # when it was first seen; 0 for one that was here before us
    healthy: bool = True  # what the platform's lagging list says
    in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = 0.0
    sent_since_report: int = 0
    done_since_report: int = 0
    failures: int = 0
    paused_until: float = 0.0
    errors: float = 0.0
    errors_at: float = 0.0
    vouched_until: float = 0.0
    unreachable_since: float | None = None  # when its daemon stopped taking connections
    leaving: bool = False  # listed as leaving; a report can't take that back

    @property
    def draining(self) -> bool:
        """Whether it takes no new work."""
        return self.leaving or (self.report is not None and self.report.draining)

    def on_sent(self) -> None:
        """A request goes there."""
        self.in_flight += 1
        self.sent_since_report += 1

    def on_done(self) -> None:
        """A request sent there has ended, in whatever way."""
        self.in_flight -= 1
        self.done_since_report += 1

    def on_report(self, report: LoadReport, now: float) -> None:
        """A load report rode back."""
        self.unreachable_since = None
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0
        self.done_since_report = 0

    def on_answer(self, now: float, *, failed: bool) -> None:
        """It answered; `failed`: with an error of its own."""
        self.failures = 0
        self.paused_until = 0.0
        self.errors = self.error_rate(now)
        self.errors += ERROR_WEIGHT * (failed - self.errors)
        self.errors_at = now
        if not failed:
            self.vouched_until = now + VOUCHED_SECONDS

    def error_rate(self, now: float) -> float:
        """The recent part of failed answers; fades, so that it is tried again."""
        return self.errors * exp(-(now - self.errors_at) / ERROR_MEMORY)

    def on_unreachable(self, now: float, rng: Random) -> None:
        """Its daemon took no connection: a failure, and perhaps the end of its machine."""
        if self.unreachable_since is None:
            self.unreachable_since = now
        self.on_failure(now, rng)

    def is_dead(self, now: float) -> bool:
        """Whether it was tried again and again for so long that its machine must be gone."""
        since = self.unreachable_since
        tried = self.failures >= DEAD_AFTER_FAILURES
        return since is not None and tried and now - since >= DEAD_AFTER

    def on_failure(self, now: float, rng: Random) -> None:
        """It failed or could not be reached: leave it alone, longer each time."""
        self.failures += 1
        pause = min(FAILURE_LAST_PAUSE, FAILURE_FIRST_PAUSE * 2 ** (self.failures - 1))
        self.paused_until = now + pause * (0.5 + rng.random())


@dataclass(frozen=True, slots=True)
class ChooserSettings:
    """The operator's settings. Times in seconds.

    `candidates` of the own availability zone are compared for each request; `far_penalty` is
    the cost of leaving that zone; `bounce_wait` is the wait at a busy upstream above which
    another is tried instead (about what another try costs); an upstream that joins gets its
    full part of the calls after `warm_up`. `miss_penalty` is what an answer after the call's
    target costs more than one before it. After `max_bounces` refusals a call queues.
    """

    candidates: int = 4
    far_penalty: float = 0.002
    bounce_wait: float = 0.008
    warm_up: float = 5.0
    miss_penalty: float = 0.0
    max_bounces: int = 2


@dataclass(slots=True)
class Chooser:
    """Picks among the upstreams of one pool for one entry."""

    zone: str
    rng: Random
    settings: ChooserSettings = field(default_factory=ChooserSettings)
    _pool_load: float = 0.0  # mean part of the limit that reports show as taken
    _pool_limit: float = 0.0  # mean limit that reports show; 0 before the first

    def on_report(self, upstream: Upstream, report: LoadReport, now: float) -> None:
        """A load report rode back from `upstream`."""
        upstream.on_report(report, now)
        load = (report.in_flight + report.queued) / max(1, report.limit)
        self._pool_load += POOL_LOAD_WEIGHT * (load - self._pool_load)
        known = self._pool_limit or report.limit
        self._pool_limit = known + POOL_LOAD_WEIGHT * (report.limit - known)

    def pick(
        self, upstreams: Sequence[Upstream], now: float, tried: Set[str] = frozenset()
    ) -> Upstream | None:
        """The upstream to try next; None if each is tried already or draining.

        When none of the rest is in good standing the pick is an even spread over all of
        them: the signs may be wrong, and piling on the last good one would fell it too.
        """
        open_ones = [u for u in upstreams if u.name not in tried and not u.draining]
        if not open_ones:
            return None
        well = [u for u in open_ones if u.paused_until <= now]
        if not well:
            return self.rng.choice(open_ones)
        warm = [u for u in well if self._has_its_turn(u, now)]
        drawn = self._draw(warm or well)
        if len(drawn) == 1:
            return drawn[0]
        known = (u.report.service for u in drawn if u.report is not None)
        typical = max(MIN_SERVICE, min(known, default=INITIAL_SERVICE))
        return min(drawn, key=lambda u: self.cost(u, typical, now) * self._jitter())

    def soonest(
        self, upstreams: Sequence[Upstream], now: float, target: float = ANY_WAIT
    ) -> Upstream | None:
        """Where a request that was refused by each of `upstreams` just now waits least.

        Their refusals told their load exactly, so it is taken as it is, undiscounted. An
        answer after `target` (seconds, monotonic) is worth little.
        """
        open_ones = [u for u in upstreams if not u.draining and u.report is not None]
        if not open_ones:
            return self.pick(upstreams, now)
        return min(open_ones, key=lambda u: self._told_cost(u, now, target) * self._jitter())

    def _told_cost(self, upstream: Upstream, now: float, target: float) -> float:
        report = upstream.report
        assert report is not None
        service = report.service * self._slowness(upstream, now)
        ahead = report.in_flight + report.queued + upstream.sent_since_report + 1
        cost = service * (1.0 + max(0, ahead - report.limit) / max(1, report.limit))
        if now + cost > target:
            cost += self.settings.miss_penalty
        if upstream.zone != self.zone:
            cost += self.settings.far_penalty
        return cost

    def has_choice(self, upstreams: Sequence[Upstream], now: float, tried: Set[str]) -> bool:
        """Whether an upstream in good standing is left that was not tried."""
        return any(
            u.name not in tried and not u.draining and u.paused_until <= now for u in upstreams
        )

    def cost(self, upstream: Upstream, typical: float, now: float) -> float:
        """Expected seconds until an answer, if the request went to `upstream`, and what its
        way costs besides.

        `typical` is the service time, in seconds, of those that it is compared with.
        """
        report = upstream.report
        is_slow = report is not None and report.service > SAME_SERVICE * typical
        service = report.service if report is not None and is_slow else typical
        service *= self._slowness(upstream, now)
        fill = self._fill(upstream, now)
        cost = service * (1.0 + _crowding(fill))
        if not upstream.healthy and upstream.vouched_until < now:
            cost *= UNHEALTHY_FACTOR
        if upstream.zone != self.zone:
            cost += self.settings.far_penalty
        # One that fails fast looks idle: its errors cost more than its speed gains.
        cost += upstream.error_rate(now) * ERROR_COST
        return cost

    def _slowness(self, upstream: Upstream, now: float) -> float:
        """How long work is thought to take there now, as a part of the usual."""
        if upstream.report is None:
            return 1.0
        trust = exp(-(now - upstream.reported_at) / SLOWNESS_MEMORY)
        return 1.0 + trust * (upstream.report.slowness - 1.0)

    def _has_its_turn(self, upstream: Upstream, now: float) -> bool:
        """A new upstream takes part in a growing share of the picks."""
        if not upstream.joined or now >= upstream.joined + self.settings.warm_up:
            return True
        warmth = (now - upstream.joined) / self.settings.warm_up
        return self.rng.random() < max(WARM_UP_FLOOR, warmth)

    def _jitter(self) -> float:
        """Parts ties, and keeps entries that know the same from choosing the same."""
        return 1.0 + COST_JITTER * self.rng.random()

    def _draw(self, upstreams: list[Upstream]) -> list[Upstream]:
        """The candidates: some of the own availability zone, and a few of the others.

        A draw from all would often hold none of the own zone, and would leave it however dear
        that is; one from the own zone alone would not see that others have room.
        """
        near = [u for u in upstreams if u.zone == self.zone]
        far = [u for u in upstreams if u.zone != self.zone]
        drawn = self._sample(near, self.settings.candidates)
        missing = self.settings.candidates - len(drawn)
        return drawn + self._sample(far, max(FAR_CANDIDATES, missing))

    def _sample(self, upstreams: list[Upstream], count: int) -> list[Upstream]:
        return upstreams if len(upstreams) <= count else self.rng.sample(upstreams, count)

    def _fill(self, upstream: Upstream, now: float) -> float:
        """How full it is thought to be, as a part of its limit and this request included."""
        report = upstream.report
        # One that has told nothing yet is taken to be like the rest: with a smaller limit it
        # would look fuller than they do, and get no work at light load.
        limit = float(max(1, report.limit)) if report else self._pool_limit or INITIAL_LIMIT
        own = OWN_WEIGHT * upstream.in_flight / limit + 1 / limit
        if report is None:
            return own + REPORT_WEIGHT * self._pool_load
        age = now - upstream.reported_at
        trust = exp(-age / (TRUST_SERVICE_TIMES * max(report.service, MIN_SERVICE)))
        fresh = report.in_flight + report.queued
        fresh += upstream.sent_since_report - upstream.done_since_report
        thought = trust * fresh / limit + (1.0 - trust) * self._pool_load
        return own + REPORT_WEIGHT * thought


def _crowding(fill: float) -> float:
    """Expected wait in service times at a fill; mild while there is room, steep beyond."""
    if fill <= 1.0:
        return CROWDING * fill**CROWDING_POWER
    return CROWDING + CROWDING_BEYOND * (fill - 1.0)
