"""Choosing the backend server for a request.

Pure decision code. An entry knows exactly what it has in flight itself, and of the rest only
load reports that rode back on answers and are stale on arrival. The chooser discounts them
by age, compares a few candidates drawn at random so that entries do not herd, and learns
from refusals and failures at once.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp
from random import Random

from wheatslip.hop import LoadReport

REPORT_HALF_TRUST = 0.25  # seconds after which a report counts 1/e
LATENCY_WEIGHT = 0.2
INITIAL_LATENCY = 0.005  # seconds
FAILURE_FIRST_PAUSE = 0.2  # seconds
FAILURE_LAST_PAUSE = 5.0
WARM_UP_SECONDS = 5.0
WARM_UP_FLOOR = 0.1
COST_JITTER = 0.02


@dataclass(slots=True, eq=False)
class Upstream:
    """What one entry knows of one backend server. Times are seconds, monotonic."""

    name: str
    zone: str
    joined: float = 0.0  # when it was first seen; 0 for one that was here before us
    healthy: bool = True  # what the platform's lagging list says
    in_flight: int = 0
    latency: float = INITIAL_LATENCY
    report: LoadReport | None = None
    reported_at: float = 0.0
    sent_since_report: int = 0
    done_since_report: int = 0
    failures: int = 0
    paused_until: float = 0.0
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
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0
        self.done_since_report = 0

    def on_answer(self, took: float) -> None:
        """It answered after `took` seconds."""
        self.failures = 0
        self.paused_until = 0.0
        self.latency += LATENCY_WEIGHT * (took - self.latency)

    def on_failure(self, now: float, rng: Random) -> None:
        """It failed or could not be reached: leave it alone, longer each time."""
        self.failures += 1
        pause = min(FAILURE_LAST_PAUSE, FAILURE_FIRST_PAUSE * 2 ** (self.failures - 1))
        self.paused_until = now + pause * (0.5 + rng.random())


@dataclass(frozen=True, slots=True)
class ChooserSettings:
    """`candidates` are compared for each request; `far_penalty` is the cost, in seconds, of
    leaving the own availability zone.
    """

    candidates: int = 3
    far_penalty: float = 0.002


@dataclass(slots=True)
class Chooser:
    """Picks among the upstreams of one service for one entry."""

    zone: str
    rng: Random
    settings: ChooserSettings = field(default_factory=ChooserSettings)

    def pick(
        self, upstreams: Sequence[Upstream], now: float, tried: frozenset[str] = frozenset()
    ) -> Upstream | None:
        """The upstream to try next; None if each is tried already or draining.

        When none of the rest is in good standing the pick is an even spread over all of
        them: the signs may be wrong, and piling on the last good one would fell it too.
        """
        open_ones = [u for u in upstreams if u.name not in tried and not u.draining]
        if not open_ones:
            return None
        well = [u for u in open_ones if _is_well(u, now)]
        if not well:
            return self.rng.choice(open_ones)
        drawn = self._draw(well)
        return min(drawn, key=lambda u: self.cost(u, now) * self._jitter())

    def has_choice(
        self, upstreams: Sequence[Upstream], now: float, tried: frozenset[str]
    ) -> bool:
        """Whether an upstream in good standing is left that was not tried."""
        return any(
            u.name not in tried and not u.draining and _is_well(u, now) for u in upstreams
        )

    def cost(self, upstream: Upstream, now: float) -> float:
        """Expected seconds until an answer, if the request went to `upstream`."""
        load, limit, service = self._estimate(upstream, now)
        excess = max(0.0, load + 1 - limit)
        cost = service * (1.0 + excess / limit)
        cost *= 1.0 + 0.05 * load / limit  # between two with room, the emptier one
        if upstream.zone != self.zone:
            cost += self.settings.far_penalty
        return cost / self._warmth(upstream, now)

    def _jitter(self) -> float:
        """Parts ties, and keeps entries that know the same from choosing the same."""
        return 1.0 + COST_JITTER * self.rng.random()

    def _draw(self, upstreams: list[Upstream]) -> list[Upstream]:
        if len(upstreams) <= self.settings.candidates:
            return upstreams
        return self.rng.sample(upstreams, self.settings.candidates)

    def _estimate(self, upstream: Upstream, now: float) -> tuple[float, float, float]:
        """Load (requests there), limit and service time as they are thought to be now."""
        report = upstream.report
        if report is None:
            return float(upstream.in_flight), 4.0, upstream.latency
        trust = exp(-(now - upstream.reported_at) / REPORT_HALF_TRUST)
        reported = report.in_flight + report.queued
        fresh = reported + upstream.sent_since_report - upstream.done_since_report
        # What is left when the report has aged is what we know ourselves.
        load = max(upstream.in_flight, trust * fresh + (1 - trust) * upstream.in_flight)
        service = trust * report.service + (1 - trust) * upstream.latency
        return load, float(max(1, report.limit)), max(service, 1e-6)

    def _warmth(self, upstream: Upstream, now: float) -> float:
        if not upstream.joined:
            return 1.0
        age = now - upstream.joined
        return min(1.0, max(WARM_UP_FLOOR, age / WARM_UP_SECONDS))


def _is_well(upstream: Upstream, now: float) -> bool:
    return upstream.healthy and upstream.paused_until <= now
