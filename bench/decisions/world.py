"""One run: entries with a policy, fake servers, seeded arrivals, and what came of each call."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

import numpy as np
from hdrh.histogram import HdrHistogram
from wheatslip.admission import AdmissionSettings
from wheatslip.attempts import Attempts
from wheatslip.budget import RetryBudgets
from wheatslip.call import Call, RequestKind
from wheatslip.chooser import Chooser, ChooserSettings, Upstream
from wheatslip.hop import LoadReport
from wheatslip.outcome import Answered, NotRun, Outcome, Unknown

from bench.decisions.clock import VirtualClock
from bench.decisions.policies import POLICIES
from bench.decisions.server import FakeServer

READ = RequestKind("read", repeatable=True)
MICROSECONDS = 1e6
LONGEST = 60_000_000


@dataclass(frozen=True, slots=True)
class Layout:
    """Sizes of one service. Times in seconds; `hop` is one way between zones."""

    servers: int = 4
    slots: int = 12
    zones: int = 3
    entries: int = 13
    service: float = 0.02
    sigma: float = 0.7
    near: float = 0.0001
    far: float = 0.001
    workspaces: int = 10
    told_slots: bool = True

    @property
    def capacity(self) -> float:
        """Calls a second that all servers can do."""
        return self.servers * self.slots / self.service


@dataclass(slots=True)
class Results:
    """What came of the calls of one run."""

    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, LONGEST, 3))
    innocent: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, LONGEST, 3))
    asked: int = 0
    good: int = 0
    failed: int = 0
    not_run: int = 0
    unknown: int = 0
    sends: int = 0
    good_by_second: dict[int, int] = field(default_factory=dict)

    def p(self, percentile: float) -> float:
        """A latency percentile in milliseconds."""
        return float(self.latency.get_value_at_percentile(percentile)) / 1000


class Entry:
    """One entry daemon: its own view of the upstreams, and its policy."""

    def __init__(self, world: "World", number: int, chooser_type: type[Chooser]):
        self.world = world
        self.zone = f"zone-{number % world.layout.zones}"
        self.rng = Random(f"{world.seed}-entry-{number}")
        # What leaving the zone costs is for the operator to say: there and back.
        far_penalty = 2 * (world.layout.far - world.layout.near)
        settings = ChooserSettings(far_penalty=far_penalty)
        self.chooser = chooser_type(self.zone, self.rng, settings)
        self.budgets = RetryBudgets()
        self.upstreams = [Upstream(s.name, s.zone) for s in world.servers]
        self._servers = {server.name: server for server in world.servers}

    def ask(self, workspace: str, deadline: float, on_end: Callable[[Outcome], None]) -> None:
        """Run one call to its outcome."""
        call = Call(workspace, "service", READ, self.world.clock.now + deadline)
        attempts = Attempts(call, self.chooser, self.budgets.of(workspace, "service"))
        self._send(attempts, on_end)

    def _send(self, attempts: Attempts, on_end: Callable[[Outcome], None]) -> None:
        clock = self.world.clock
        if attempts.call.remaining(clock.now) <= 0:
            on_end(attempts.expired())
            return
        chosen = attempts.next(self.upstreams, clock.now)
        if chosen is None:
            on_end(attempts.result())
            return
        if clock.now >= self.world.measure_from:
            self.world.results.sends += 1
        upstream = chosen.upstream
        server = self._servers[upstream.name]
        delay = self.world.delay(self.zone, server.zone, self.rng)
        upstream.on_sent()
        attempts.on_bytes_sent()

        def arrive() -> None:
            server.receive(attempts.call, chosen.max_wait, reply)

        def reply(outcome: Outcome, report: LoadReport | None) -> None:
            clock.after(delay, lambda: ended(outcome, report))

        def ended(outcome: Outcome, report: LoadReport | None) -> None:
            self._learn(upstream, outcome, report)
            if attempts.ended(outcome):
                self._send(attempts, on_end)
            else:
                on_end(attempts.result())

        clock.after(delay, arrive)

    def _learn(self, upstream: Upstream, outcome: Outcome, report: LoadReport | None) -> None:
        now = self.world.clock.now
        upstream.on_done()
        if report is None:
            upstream.on_failure(now, self.rng)
            return
        self.chooser.on_report(upstream, report, now)
        if isinstance(outcome, Answered):
            upstream.on_answer(now, failed=outcome.status >= 500)


@dataclass(slots=True)
class Burst:
    """Arrivals of some workspaces at a rate for a time, on top of the rest."""

    start: float
    end: float
    rate: float
    workspaces: Sequence[str]


class World:
    """Everything of one run."""

    def __init__(self, layout: Layout, policy: str, seed: int, report_delay: float = 0.0):
        self.layout = layout
        self.seed = seed
        self.clock = VirtualClock()
        self.results = Results()
        settings = AdmissionSettings(
            slots=layout.slots if layout.told_slots else 0, queue=layout.slots * 8
        )
        self.servers = [
            FakeServer(
                f"server-{number}",
                f"zone-{number % layout.zones}",
                self.clock,
                Random(f"{seed}-server-{number}"),
                layout.slots,
                layout.service,
                layout.sigma,
                settings,
                report_delay,
            )
            for number in range(layout.servers)
        ]
        chooser_type = POLICIES[policy]
        self.entries = [Entry(self, n, chooser_type) for n in range(layout.entries)]
        self.innocents: frozenset[str] = frozenset()
        self.measure_from = 1.0  # seconds; what comes before only warms up
        self.seconds = 0.0  # of arrivals

    def delay(self, zone: str, other: str, rng: Random) -> float:
        """One way between two daemons, with a little jitter."""
        base = self.layout.near if zone == other else self.layout.far
        return base * (1.0 + 0.2 * rng.random())

    def offer(self, burst: Burst, deadline: float = 1.0) -> None:
        """Schedule Poisson arrivals at random entries."""
        generator = np.random.default_rng([self.seed, int(burst.start * 1000), int(burst.rate)])
        count = generator.poisson(burst.rate * (burst.end - burst.start))
        times = np.sort(generator.uniform(burst.start, burst.end, count))
        entries = generator.integers(0, len(self.entries), count)
        names = generator.integers(0, len(burst.workspaces), count)
        for when, entry, name in zip(times, entries, names, strict=True):
            self._schedule(float(when), int(entry), burst.workspaces[int(name)], deadline)

    def run(self) -> Results:
        """Run to the end of the last call."""
        self.clock.run()
        return self.results

    def _schedule(self, when: float, entry: int, workspace: str, deadline: float) -> None:
        def ask() -> None:
            self.entries[entry].ask(workspace, deadline, on_end)

        def on_end(outcome: Outcome) -> None:
            self._note(when, workspace, outcome)

        self.clock.at(when, ask)

    def _note(self, asked_at: float, workspace: str, outcome: Outcome) -> None:
        if asked_at < self.measure_from:
            return
        results = self.results
        results.asked += 1
        match outcome:
            case Answered(status) if status < 500:
                results.good += 1
                second = int(self.clock.now)
                results.good_by_second[second] = results.good_by_second.get(second, 0) + 1
            case Answered():
                results.failed += 1
                return
            case NotRun():
                results.not_run += 1
                return
            case Unknown():
                results.unknown += 1
                return
        took = max(1, int((self.clock.now - asked_at) * MICROSECONDS))
        results.latency.record_value(took)
        if workspace in self.innocents:
            results.innocent.record_value(took)
