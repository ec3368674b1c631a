"""Choosing the backend server for a request: which upstream of a pool should get this try?

Pure decision code, in each entry by itself. Seconds on one monotonic clock throughout.

What goes in:

- what this entry has in flight at each upstream: exact, but a small part of the load there;
- the last `LoadReport` of each, sent back on an answer: the whole load, but stale on
  arrival and the same for many entries;
- failures and errors that this entry met itself, and the health in the platform's list, which
  lags;
- the availability zones, and the operator's `ChooserSettings`.

`Chooser.pick` decides in this order:

1. Upstreams that were tried for this call, or are leaving, are out.
2. Upstreams in a pause after a failure are out; if that leaves none, one of them at random.
3. An upstream that joined lately takes part in a growing share of the picks.
4. Candidates are drawn at random: `candidates` of the own zone, a few of the others.
5. The candidate with the least `cost` gets the request; a jitter parts ties.

`Chooser.cost` is the expected seconds until an answer, and what its way costs besides: the
service time there now, more of it the fuller the server is thought to be, twice that where only
the list calls it unhealthy, a price for leaving the zone, a price for its recent errors.

Load pattern: many entries choose at the same moment by the same reports. Each that took the
best server would send its requests to the same one (herding); so reports count half and fade,
small differences count as none, and candidates are drawn. docs/DECISIONS.md has the trials.
"""

from collections.abc import Sequence, Set
from dataclasses import dataclass, field
from math import exp
from random import Random

from wheatslip.call import UNLIMITED
from wheatslip.hop import LoadReport
from wheatslip.limit import INITIAL_LIMIT, INITIAL_SERVICE_TIME_SECONDS
from wheatslip.upstream import Upstream

__all__ = ["Chooser", "ChooserSettings", "Upstream"]

# Load at a server changes completely in about the time that one request takes there, so a
# report is trusted for this many service times (to 1/e).
TRUST_SERVICE_TIMES = 4.0
# Weights of an entry's own requests in flight and of the load by reports, in the fill of a
# server. With the reports a wave of arrivals is answered sooner; more weight on them makes
# entries herd.
OWN_WEIGHT = 2.0
REPORT_WEIGHT = 0.5
# Weight of one report in the mean load and mean limit of a pool: the mean covers the last 20
# reports or so.
POOL_LOAD_WEIGHT = 0.05
MIN_SERVICE = 1e-6  # seconds; keeps a report of no service time from dividing by zero
# Ratio up to which service times count as equal. Without it entries follow noise and
# herd, and several times as many first tries are refused.
SAME_SERVICE = 1.5
# Share of the picks that an upstream takes part in when it has just joined. With none it would
# report nothing, and so stay unknown, until its warm-up is over.
WARM_UP_FLOOR = 0.05
# Seconds in which a report of slowness falls to 1/e. Longer, entries avoid a server that is
# fast again; shorter, they go back to one that is still slow.
SLOWNESS_MEMORY = 0.05
# Largest part of its cost that is added to a candidate at random. Below the differences that
# matter, above those of rounding.
COST_JITTER = 0.02
# Candidates from other availability zones, at least. With none, a zone whose callers
# grow does not see the room of the others.
FAR_CANDIDATES = 2
# Expected wait, in service times, at a server that is just full; the power by which it rises up
# to there; and how much each further fill of the limit adds.
CROWDING = 1.0
CROWDING_POWER = 2
CROWDING_BEYOND = 2.0
# Seconds that a certain failure costs. Without it a server that fails fast draws requests,
# as it looks idle.
ERROR_COST = 1.0
# Factor of the cost where only the list calls an upstream unhealthy: a hint, as the list lags.
UNHEALTHY_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class ChooserSettings:
    """The operator's settings; default.ini explains when to change them. Times in seconds."""

    candidates: int = 4  # of the own availability zone, compared for each request
    far_penalty: float = 0.002  # what leaving that zone costs
    # Longest wait at a busy upstream while others are left: about what another try costs.
    bounce_wait: float = 0.008
    warm_up: float = 5.0  # until an upstream that joins gets its full part of the calls
    miss_penalty: float = 0.0  # what an answer after the call's target costs more
    max_bounces: int = 2  # refusals of a longer wait, after which a call queues


@dataclass(slots=True)
class Chooser:
    """Picks among the upstreams of one pool for one entry."""

    zone: str
    rng: Random
    settings: ChooserSettings = field(default_factory=ChooserSettings)
    _pool_load: float = 0.0  # mean part of the limit that reports show as taken
    _pool_limit: float = 0.0  # mean limit that reports show; 0 before the first

    def on_report(self, upstream: Upstream, report: LoadReport, now: float) -> None:
        """A load report came with an answer from `upstream`."""
        upstream.on_report(report, now)
        load = (report.in_flight + report.queued) / max(1, report.limit)
        self._pool_load += POOL_LOAD_WEIGHT * (load - self._pool_load)
        known = self._pool_limit or report.limit
        self._pool_limit = known + POOL_LOAD_WEIGHT * (report.limit - known)

    def pick(
        self, upstreams: Sequence[Upstream], now: float, tried: Set[str] = frozenset()
    ) -> Upstream | None:
        """The upstream to try next; None if each is tried already or leaving.

        When none of the rest is in good standing the pick is an even spread over all of
        them: the signs may be wrong, and all load on the last good one would overload it too.
        """
        open_ones = [u for u in upstreams if u.name not in tried and not u.leaving]
        if not open_ones:
            return None
        well = [u for u in open_ones if u.paused_until <= now]
        if not well:
            return self.rng.choice(open_ones)
        warm = [u for u in well if self._takes_part(u, now)]
        drawn = self._draw(warm or well)
        if len(drawn) == 1:
            return drawn[0]
        known = (u.report.service for u in drawn if u.report is not None)
        typical = max(MIN_SERVICE, min(known, default=INITIAL_SERVICE_TIME_SECONDS))
        return min(drawn, key=lambda u: self.cost(u, typical, now) * self._jitter())

    def cost(self, upstream: Upstream, typical: float, now: float) -> float:
        """Expected seconds until an answer, if the request went to `upstream`, and what its
        way costs besides.

        `typical` is the service time, in seconds, of those that it is compared with.
        """
        cost = self._service_time(upstream, typical, now)
        cost *= 1.0 + _crowding(self._fill(upstream, now))
        if not upstream.healthy and upstream.vouched_until < now:
            cost *= UNHEALTHY_FACTOR
        if upstream.zone != self.zone:
            cost += self.settings.far_penalty
        # One that fails fast looks idle: its errors cost more than its speed gains.
        cost += upstream.error_rate(now) * ERROR_COST
        return cost

    def has_choice(self, upstreams: Sequence[Upstream], now: float, tried: Set[str]) -> bool:
        """Whether an upstream in good standing is left that was not tried."""
        return any(
            u.name not in tried and not u.leaving and u.paused_until <= now for u in upstreams
        )

    def soonest(
        self, upstreams: Sequence[Upstream], now: float, target: float = UNLIMITED
    ) -> Upstream | None:
        """Where a request that was refused by each of `upstreams` just now waits least.

        Their refusals reported their load exactly, so it is taken as it is, undiscounted. An
        answer after `target` (seconds, monotonic) costs `miss_penalty` more.
        """
        open_ones = [u for u in upstreams if not u.leaving and u.report is not None]
        if not open_ones:
            return self.pick(upstreams, now)
        return min(open_ones, key=lambda u: self._queue_cost(u, now, target) * self._jitter())

    def _takes_part(self, upstream: Upstream, now: float) -> bool:
        """Whether an upstream takes part in this pick: a new one does in a growing share."""
        if not upstream.joined or now >= upstream.joined + self.settings.warm_up:
            return True
        warmth = (now - upstream.joined) / self.settings.warm_up
        return self.rng.random() < max(WARM_UP_FLOOR, warmth)

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

    def _service_time(self, upstream: Upstream, typical: float, now: float) -> float:
        """Expected seconds of work there now; those reported, where they differ clearly."""
        report = upstream.report
        is_slow = report is not None and report.service > SAME_SERVICE * typical
        service = report.service if report is not None and is_slow else typical
        return service * self._slowness(upstream, now)

    def _slowness(self, upstream: Upstream, now: float) -> float:
        """The expected ratio of the present service time there to the usual one."""
        if upstream.report is None:
            return 1.0
        trust = exp(-(now - upstream.reported_at) / SLOWNESS_MEMORY)
        return 1.0 + trust * (upstream.report.slowness - 1.0)

    def _fill(self, upstream: Upstream, now: float) -> float:
        """How full it is thought to be, as a part of its limit and this request included."""
        report = upstream.report
        # One that has reported nothing yet is taken to be like the rest: with a smaller limit
        # it would look fuller than they do, and get no work at light load.
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

    def _queue_cost(self, upstream: Upstream, now: float, target: float) -> float:
        """Expected seconds until an answer by the last report alone, and what else it costs."""
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

    def _jitter(self) -> float:
        """Parts ties, and keeps entries that know the same from choosing the same."""
        return 1.0 + COST_JITTER * self.rng.random()


def _crowding(fill: float) -> float:
    """Expected wait in service times at a fill; mild while there is room, steep beyond."""
    if fill <= 1.0:
        return CROWDING * fill**CROWDING_POWER
    return CROWDING + CROWDING_BEYOND * (fill - 1.0)
