"""Load balancing: picks the upstream of a pool that gets a try.

Decision code without I/O; each entry decides independently. Times are in seconds on one
monotonic clock.

Inputs:

- the requests that this entry has in flight at each upstream: exact, but a small part of the
  load there;
- the last `LoadReport` of each upstream, sent with an answer: the whole load, but stale on
  arrival and the same for many entries;
- failures and errors that this entry has seen, and the health in the platform's list, which may
  be out of date;
- the availability zones and the operator's `ChooserSettings`.

`Chooser.pick` decides in this order:

1. It excludes upstreams that were tried for this call or are leaving.
2. It excludes upstreams in a pause after a failure. If all are paused, it picks any of them at
   random.
3. It draws an upstream that names a limit in a share of the picks that depends on how often
   its gate refuses (`NoticeMemory`).
4. It draws an upstream that was sent nothing yet in its share of the picks.
5. It includes an upstream that joined recently in a growing share of the picks.
6. It draws candidates at random: `candidates` from its own zone, a few from other zones.
7. It picks the candidate with the lowest `cost`. Jitter breaks ties.

`Chooser.cost` is the expected time until an answer plus penalties, in seconds: the current
service time of the upstream, increased with its estimated utilization and doubled if only the
list says that it is unhealthy, a penalty for another zone, and a penalty for recent errors.

Many entries choose at the same time from the same reports. If each picked the best server, all
would send their requests to the same one (herding). Therefore reports have half weight and
decay, small differences are ignored, and candidates are drawn at random. See docs/DECISIONS.md.
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

# The load at a server changes completely in about one service time.
REPORT_DECAY_SERVICE_TIMES = 4.0  # in which the weight of a load report decays to 1/e
OWN_WEIGHT = 2.0  # of this entry's requests in flight, in the utilization of a server
REPORT_WEIGHT = 0.5  # of the reported load in the utilization; a high one causes herding
# Of one report in the mean load and mean limit of a pool: about the last 20 reports count.
POOL_LOAD_WEIGHT = 0.05
MIN_SERVICE_SECONDS = 1e-6  # avoids a division by zero
EQUAL_SERVICE_RATIO = 1.5  # service times up to this ratio count as equal, to ignore noise
# Of the picks, for a new upstream; above 0, since without requests it sends no reports.
MIN_WARM_UP_SHARE = 0.05
# A longer decay avoids servers that are fast again, a shorter one returns to slow ones.
SLOWNESS_DECAY_SECONDS = 0.05  # time in which a reported slowness decays to 1/e
# Largest random increase of a cost, relative to it: above rounding errors, below relevant
# differences.
COST_JITTER = 0.02
MIN_OTHER_ZONE_CANDIDATES = 2  # so that an overloaded zone detects free capacity elsewhere
FULL_WAIT_SERVICE_TIMES = 1.0  # expected wait at a server at its limit
WAIT_EXPONENT = 2  # of the utilization, in the wait at a server below its limit
OVERLOAD_WAIT_SERVICE_TIMES = 2.0  # additional wait per utilization of 1.0 above the limit
ERROR_COST_SECONDS = 1.0  # at an error rate of 1.0; a server that fails fast seems idle
UNHEALTHY_FACTOR = 2.0  # of the cost, if only the list says that an upstream is unhealthy


@dataclass(frozen=True, slots=True)
class ChooserSettings:
    """The operator's settings; default.ini explains when to change them. Times in seconds."""

    candidates: int = 4  # compared per request, from the entry's own availability zone
    far_penalty: float = 0.002  # cost of an upstream in another zone
    # Longest wait at a busy upstream while others are left: about the cost of another try.
    bounce_wait: float = 0.008
    warm_up: float = 5.0  # until an upstream that joined gets its full share of the requests
    miss_penalty: float = 0.0  # cost of an answer after the call's target
    max_bounces: int = 2  # refusals for a longer wait than `bounce_wait` before a call queues


@dataclass(slots=True)
class Chooser:
    """Picks upstreams of one pool for one entry."""

    zone: str
    rng: Random
    settings: ChooserSettings = field(default_factory=ChooserSettings)
    _pool_load: float = 0.0  # mean reported load, relative to the limit
    _pool_limit: float = 0.0  # mean reported limit; 0 before the first report

    def on_report(self, upstream: Upstream, report: LoadReport, now: float) -> None:
        """Records a load report that came with an answer from `upstream`."""
        upstream.on_report(report, now)
        if upstream.notices.rate is not None:
            return  # its reported limit is lowered
        load = (report.in_flight + report.queued) / max(1, report.limit)
        self._pool_load += POOL_LOAD_WEIGHT * (load - self._pool_load)
        previous_limit = self._pool_limit or report.limit
        self._pool_limit = previous_limit + POOL_LOAD_WEIGHT * (report.limit - previous_limit)

    def pick(
        self, upstreams: Sequence[Upstream], now: float, tried: Set[str] = frozenset()
    ) -> Upstream | None:
        """The upstream to try next; None if all were tried or are leaving.

        If all eligible upstreams are in a pause after a failure, the pick is uniformly random:
        the failures may be false positives, and sending all requests to one would overload it.
        """
        eligible = [u for u in upstreams if u.name not in tried and not u.is_leaving(now)]
        if not eligible:
            return None
        available = [u for u in eligible if u.paused_until <= now]
        if not available:
            return self.rng.choice(eligible)
        near = [u for u in available if u.zone == self.zone] or available
        drawn = self._draw_limited(near, now) or self._draw_unasked(near, now)
        if drawn is not None:
            return drawn
        willing = [u for u in available if self._takes_part(u, now)]
        candidates = self._draw_candidates(willing or available)
        if len(candidates) == 1:
            return candidates[0]
        service_times = (u.report.service for u in candidates if u.report is not None)
        reference_service = max(
            MIN_SERVICE_SECONDS, min(service_times, default=INITIAL_SERVICE_TIME_SECONDS)
        )
        return min(
            candidates, key=lambda u: self.cost(u, reference_service, now) * self._jitter()
        )

    def cost(self, upstream: Upstream, reference_service: float, now: float) -> float:
        """Expected seconds until an answer from `upstream`, plus penalties.

        `reference_service` is the lowest service time, in seconds, among the candidates.
        """
        cost = self._service_time(upstream, reference_service, now)
        cost *= 1.0 + _relative_wait(self._utilization(upstream, now))
        if not upstream.healthy and upstream.healthy_until < now:
            cost *= UNHEALTHY_FACTOR
        if upstream.zone != self.zone:
            cost += self.settings.far_penalty
        cost += upstream.error_rate(now) * ERROR_COST_SECONDS
        return cost

    def has_untried(self, upstreams: Sequence[Upstream], now: float, tried: Set[str]) -> bool:
        """Whether an upstream is left that was not tried, is not leaving and not paused."""
        return any(
            u.name not in tried and not u.is_leaving(now) and u.paused_until <= now
            for u in upstreams
        )

    def pick_shortest_wait(
        self, upstreams: Sequence[Upstream], now: float, target: float = UNLIMITED
    ) -> Upstream | None:
        """The upstream with the shortest expected wait, after each refused the request.

        The refusals have just reported their load, so the reports are used without decay. An
        answer after `target` (monotonic seconds) costs an additional `miss_penalty`.
        """
        eligible = [u for u in upstreams if not u.is_leaving(now) and u.report is not None]
        if not eligible:
            return self.pick(upstreams, now)
        return min(eligible, key=lambda u: self._queue_cost(u, now, target) * self._jitter())

    def _draw_limited(self, near: list[Upstream], now: float) -> Upstream | None:
        """Draws an upstream that names a limit, by its share; None in the other cases.

        It is not compared by cost: at light load any small difference in cost would keep all
        requests away from it, and it could not tell that its limit has ended.
        """
        draw = self.rng.random() * len(near)
        for upstream in near:
            if upstream.notices.rate is not None:
                draw -= upstream.notices.share(now)
                if draw < 0:
                    return upstream
        return None

    def _draw_unasked(self, near: list[Upstream], now: float) -> Upstream | None:
        """Draws an upstream that was sent nothing yet, by its share; None in the other cases.

        It is not compared by cost: at light load the others have just reported that they are
        idle, and none would ever get its first request. It gets no second one this way before
        it reports: it may be one that does not answer.
        """
        unasked = [u for u in near if _is_unasked(u, now) and self._takes_part(u, now)]
        if not unasked or self.rng.random() * len(near) >= len(unasked):
            return None
        return self.rng.choice(unasked)

    def _takes_part(self, upstream: Upstream, now: float) -> bool:
        """Whether an upstream takes part in the comparison by cost."""
        if upstream.notices.rate is not None and upstream.zone == self.zone:
            return False  # `_draw_limited` has not drawn it
        return self._passes_warm_up(upstream, now) and upstream.notices.takes_part(
            now, self.rng
        )

    def _passes_warm_up(self, upstream: Upstream, now: float) -> bool:
        """Whether an upstream is warm enough for this pick; random while it is warming up."""
        if not upstream.joined or now >= upstream.joined + self.settings.warm_up:
            return True
        warm_up_progress = (now - upstream.joined) / self.settings.warm_up
        return self.rng.random() < max(MIN_WARM_UP_SHARE, warm_up_progress)

    def _draw_candidates(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Draws candidates from the entry's own availability zone and a few from other zones.

        A draw from all upstreams would often have none of the own zone, whatever the penalty
        for other zones. A draw from the own zone only would miss free capacity elsewhere.
        """
        same_zone = [u for u in upstreams if u.zone == self.zone]
        other_zones = [u for u in upstreams if u.zone != self.zone]
        selected = self._sample(same_zone, self.settings.candidates)
        missing_count = self.settings.candidates - len(selected)
        return selected + self._sample(
            other_zones, max(MIN_OTHER_ZONE_CANDIDATES, missing_count)
        )

    def _sample(self, upstreams: list[Upstream], count: int) -> list[Upstream]:
        return upstreams if len(upstreams) <= count else self.rng.sample(upstreams, count)

    def _service_time(self, upstream: Upstream, reference_service: float, now: float) -> float:
        """Expected service time in seconds; the reported one only if it is clearly higher than
        `reference_service`.
        """
        report = upstream.report
        is_slow = (
            report is not None and report.service > EQUAL_SERVICE_RATIO * reference_service
        )
        service = report.service if report is not None and is_slow else reference_service
        return service * self._slowness(upstream, now)

    def _slowness(self, upstream: Upstream, now: float) -> float:
        """Expected ratio of the upstream's current service time to its recent mean."""
        if upstream.report is None:
            return 1.0
        weight = exp(-(now - upstream.reported_at) / SLOWNESS_DECAY_SECONDS)
        return 1.0 + weight * (upstream.report.slowness - 1.0)

    def _utilization(self, upstream: Upstream, now: float) -> float:
        """Estimated load relative to the limit, including this request."""
        report = upstream.report
        if report is None or upstream.notices.rate is not None:
            # A lower limit than that of the others, such as the one that a limited server
            # reports, would keep all requests away from it at light load.
            limit = self._pool_limit or INITIAL_LIMIT
        else:
            limit = float(max(1, report.limit))
        own_load = OWN_WEIGHT * upstream.in_flight / limit + 1 / limit
        if report is None:
            return own_load + REPORT_WEIGHT * self._pool_load
        age = now - upstream.reported_at
        weight = exp(
            -age / (REPORT_DECAY_SERVICE_TIMES * max(report.service, MIN_SERVICE_SECONDS))
        )
        current_load = report.in_flight + report.queued
        current_load += upstream.sent_since_report - upstream.done_since_report
        expected_load = weight * current_load / limit + (1.0 - weight) * self._pool_load
        return own_load + REPORT_WEIGHT * expected_load

    def _queue_cost(self, upstream: Upstream, now: float, target: float) -> float:
        """Expected seconds until an answer according to the last report, plus penalties."""
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
        """Random factor that breaks ties and makes entries with equal data pick differently."""
        return 1.0 + COST_JITTER * self.rng.random()


def _relative_wait(utilization: float) -> float:
    """Expected wait in service times."""
    if utilization <= 1.0:
        return FULL_WAIT_SERVICE_TIMES * utilization**WAIT_EXPONENT
    return FULL_WAIT_SERVICE_TIMES + OVERLOAD_WAIT_SERVICE_TIMES * (utilization - 1.0)


def _is_unasked(upstream: Upstream, now: float) -> bool:
    """Whether an upstream was sent nothing, and the list does not say that it is unhealthy."""
    if upstream.report is not None or upstream.sent_since_report:
        return False
    return upstream.healthy or upstream.healthy_until >= now
