"""Measures how a rush of one workspace delays the others, at one gate in virtual time.

Ten workspaces call one backend server, with a total load of 70 % of its capacity. In the rush,
one workspace calls ten times as often for three seconds. In the overload, the total load is
three times the capacity for two seconds. Service times are lognormal with a mean of 20 ms. The
admission code of the gate (`wheatslip.admission`) is real; the backend server is simulated.
"""

import argparse
import heapq
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from hdrh.histogram import HdrHistogram
from wheatslip.admission import Admission, AdmissionSettings, Ticket
from wheatslip.call import Call, RequestKind
from wheatslip.outcome import NotRun

from bench.figures import Bound, Figure, add_record_option, report

SEEDS = 5
SLOTS = 12
QUEUE = 8 * SLOTS
MEAN_SERVICE_SECONDS = 0.02
SERVICE_SIGMA = 0.7  # of the lognormal service time
CAPACITY_PER_SECOND = SLOTS / MEAN_SERVICE_SECONDS
WORKSPACES = tuple(f"workspace-{number}" for number in range(10))
RUSHING_WORKSPACE = WORKSPACES[0]
BASE_LOAD = 0.7  # fraction of the capacity
DEADLINE_SECONDS = 1.0
ARRIVAL_SECONDS = 8.0  # after which no more requests arrive
WARM_UP_SECONDS = 1.0  # not measured
EVENT_START_SECONDS = 3.0  # when the rush or the overload starts
RUSH_SECONDS = 3.0
RUSH_FACTOR = 10.0  # of the workspace's usual rate
OVERLOAD_SECONDS = 2.0
OVERLOAD_FACTOR = 3.0  # of the capacity
MICROSECONDS_PER_SECOND = 1e6
MAX_LATENCY_MICROSECONDS = 60_000_000
# Design goals: a rush hardly delays the other workspaces, and an overloaded server keeps
# working at nearly its full capacity.
LATENCY_RATIO_BOUND = Bound(maximum=1.1)
GOODPUT_BOUND = Bound(minimum=0.95)

READ = RequestKind("read", repeatable=True)


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Poisson arrivals from `workspaces` at a total rate, in requests per second."""

    start: float
    seconds: float
    rate: float
    workspaces: tuple[str, ...]


BASE = Arrivals(0.0, ARRIVAL_SECONDS, BASE_LOAD * CAPACITY_PER_SECOND, WORKSPACES)
RUSH = Arrivals(
    EVENT_START_SECONDS,
    RUSH_SECONDS,
    (RUSH_FACTOR - 1) * BASE_LOAD * CAPACITY_PER_SECOND / len(WORKSPACES),
    (RUSHING_WORKSPACE,),
)
OVERLOAD = Arrivals(
    EVENT_START_SECONDS,
    OVERLOAD_SECONDS,
    (OVERLOAD_FACTOR - BASE_LOAD) * CAPACITY_PER_SECOND,
    WORKSPACES,
)


@dataclass(slots=True)
class GateSimulation:
    """One gate and its backend server. Times are in virtual seconds."""

    seed: int
    now: float = 0.0
    # Of all workspaces but the rushing one, in microseconds.
    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_MICROSECONDS, 3)
    )
    answered_in_event: int = 0  # in the first second of the event
    _gate: Admission = field(
        default_factory=lambda: Admission(AdmissionSettings(slots=SLOTS, queue=QUEUE))
    )
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: "count[int]" = field(default_factory=count)  # orders events of the same time
    _rng: Random = field(init=False)

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)

    def run(self, *arrivals: Arrivals) -> None:
        """Simulate all arrivals until the last request has ended."""
        for workload in arrivals:
            self._schedule_arrivals(workload)
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def _schedule(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), event))

    def _schedule_arrivals(self, arrivals: Arrivals) -> None:
        when = arrivals.start
        while (when := when + self._rng.expovariate(arrivals.rate)) < (
            arrivals.start + arrivals.seconds
        ):
            workspace = self._rng.choice(arrivals.workspaces)
            self._schedule(when, lambda name=workspace: self._arrive(name))

    def _arrive(self, workspace: str) -> None:
        call = Call(workspace, "service", READ, self.now + DEADLINE_SECONDS)
        ticket = self._gate.arrive(call, self.now)
        self._gate.take_evicted()
        if isinstance(ticket, NotRun):
            return
        if ticket.started is not None:
            self._start(ticket)
            return
        latest = max(self.now, self._gate.timing.latest_start(call, self.now))
        self._schedule(latest, lambda: self._gate.withdraw(ticket))

    def _start(self, ticket: Ticket) -> None:
        # With this parameter, the lognormal distribution has a mean of 1.
        mu = -(SERVICE_SIGMA**2) / 2
        service_seconds = MEAN_SERVICE_SECONDS * self._rng.lognormvariate(mu, SERVICE_SIGMA)
        self._schedule(self.now + service_seconds, lambda: self._finish(ticket))

    def _finish(self, ticket: Ticket) -> None:
        for started in self._gate.finish(ticket, self.now, worked=True):
            self._start(started)
        if ticket.arrived < WARM_UP_SECONDS:
            return
        if EVENT_START_SECONDS < self.now <= EVENT_START_SECONDS + 1.0:
            self.answered_in_event += 1
        if ticket.call.workspace != RUSHING_WORKSPACE:
            latency = self.now - ticket.arrived
            self.latencies.record_value(max(1, int(latency * MICROSECONDS_PER_SECOND)))

    @property
    def p99_seconds(self) -> float:
        """99th percentile of the latency of all workspaces but the rushing one."""
        return float(self.latencies.get_value_at_percentile(99)) / MICROSECONDS_PER_SECOND


def simulate(seed: int, *arrivals: Arrivals) -> GateSimulation:
    simulation = GateSimulation(seed)
    simulation.run(*arrivals)
    return simulation


def main() -> int:
    """Run the benchmark and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    add_record_option(parser)
    options = parser.parse_args()
    seeds = range(1, options.seeds + 1)
    ratios = [
        simulate(s, BASE, RUSH).p99_seconds / simulate(s, BASE).p99_seconds for s in seeds
    ]
    goodput = [
        simulate(s, BASE, OVERLOAD).answered_in_event / CAPACITY_PER_SECOND for s in seeds
    ]
    figures = [
        Figure("rush: p99 of the others / without a rush", "", ratios, LATENCY_RATIO_BOUND),
        Figure("overload: goodput / capacity", "", goodput, GOODPUT_BOUND),
    ]
    return report("fairness", figures, record=options.record)


if __name__ == "__main__":
    sys.exit(main())
