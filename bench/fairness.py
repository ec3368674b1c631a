"""Whether one workspace's rush costs the others time, at one gate in virtual time.

The load: ten workspaces call one backend server at 70 % of its capacity in all. In the rush one
of them calls ten times as often for three seconds; in the overload all call three times as much
as the server can do for two seconds. Service times are lognormal with a mean of 20 ms. The
gate's own code (`wheatslip.admission`) decides; the server behind it is simulated.
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
SERVICE_SECONDS = 0.02  # mean of one request
SERVICE_SIGMA = 0.7  # of the lognormal distribution
CAPACITY = SLOTS / SERVICE_SECONDS  # requests a second
WORKSPACES = tuple(f"workspace-{number}" for number in range(10))
BUSY_WORKSPACE = WORKSPACES[0]
BASE_LOAD = 0.7  # of the capacity
DEADLINE_SECONDS = 1.0
SECONDS = 8.0  # of arrivals
WARM_UP_SECONDS = 1.0  # that are not measured
EVENT_START = 3.0  # seconds, of the rush and the overload
RUSH_SECONDS = 3.0
RUSH_FACTOR = 10.0
OVERLOAD_SECONDS = 2.0
OVERLOAD_FACTOR = 3.0  # of the capacity
MICROSECONDS = 1e6
LONGEST_MICROSECONDS = 60_000_000
# Both bounds are the product's goals: the other workspaces hardly notice a rush, and an
# overloaded server goes on working at nearly its full capacity.
INNOCENT_BOUND = Bound(most=1.1)
GOODPUT_BOUND = Bound(least=0.95)

READ = RequestKind("read", repeatable=True)


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Poisson arrivals of some workspaces at a rate (requests a second) for some seconds."""

    start: float
    seconds: float
    rate: float
    workspaces: tuple[str, ...]


BASE = Arrivals(0.0, SECONDS, BASE_LOAD * CAPACITY, WORKSPACES)
RUSH = Arrivals(
    EVENT_START,
    RUSH_SECONDS,
    (RUSH_FACTOR - 1) * BASE_LOAD * CAPACITY / len(WORKSPACES),
    (BUSY_WORKSPACE,),
)
OVERLOAD = Arrivals(
    EVENT_START, OVERLOAD_SECONDS, (OVERLOAD_FACTOR - BASE_LOAD) * CAPACITY, WORKSPACES
)


@dataclass(slots=True)
class GateRun:
    """One seeded run of a gate and the server behind it. Times in seconds, virtual."""

    seed: int
    now: float = 0.0
    innocent: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, LONGEST_MICROSECONDS, 3)
    )
    answered_in_event: int = 0  # in the second after the event began
    _gate: Admission = field(
        default_factory=lambda: Admission(AdmissionSettings(slots=SLOTS, queue=QUEUE))
    )
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _order: "count[int]" = field(default_factory=count)
    _rng: Random = field(init=False)

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)

    def run(self, *arrivals: Arrivals) -> None:
        """Play all arrivals to the end of the last request."""
        for each in arrivals:
            self._schedule(each)
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def _at(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), event))

    def _schedule(self, arrivals: Arrivals) -> None:
        when = arrivals.start
        while (when := when + self._rng.expovariate(arrivals.rate)) < (
            arrivals.start + arrivals.seconds
        ):
            workspace = self._rng.choice(arrivals.workspaces)
            self._at(when, lambda name=workspace: self._arrive(name))

    def _arrive(self, workspace: str) -> None:
        call = Call(workspace, "service", READ, self.now + DEADLINE_SECONDS)
        ticket = self._gate.arrive(call, self.now)
        self._gate.take_evicted()
        if isinstance(ticket, NotRun):
            return
        if ticket.started is not None:
            self._work(ticket)
            return
        latest = max(self.now, self._gate.timing.latest_start(call, self.now))
        self._at(latest, lambda: self._gate.withdraw(ticket))

    def _work(self, ticket: Ticket) -> None:
        mean = -(SERVICE_SIGMA**2) / 2
        takes = SERVICE_SECONDS * self._rng.lognormvariate(mean, SERVICE_SIGMA)
        self._at(self.now + takes, lambda: self._finish(ticket))

    def _finish(self, ticket: Ticket) -> None:
        for started in self._gate.finish(ticket, self.now, worked=True):
            self._work(started)
        if ticket.arrived < WARM_UP_SECONDS:
            return
        if EVENT_START < self.now <= EVENT_START + 1.0:
            self.answered_in_event += 1
        if ticket.call.workspace != BUSY_WORKSPACE:
            waited = self.now - ticket.arrived
            self.innocent.record_value(max(1, int(waited * MICROSECONDS)))

    @property
    def innocent_p99(self) -> float:
        """Seconds until 99 of 100 answers to the workspaces that do not rush."""
        return float(self.innocent.get_value_at_percentile(99)) / MICROSECONDS


def play(seed: int, *arrivals: Arrivals) -> GateRun:
    """One run."""
    run = GateRun(seed)
    run.run(*arrivals)
    return run


def main() -> int:
    """Run the benchmark; exit code 1 on a breach."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    add_record_option(parser)
    options = parser.parse_args()
    seeds = range(1, options.seeds + 1)
    ratios = [play(s, BASE, RUSH).innocent_p99 / play(s, BASE).innocent_p99 for s in seeds]
    goodput = [play(s, BASE, OVERLOAD).answered_in_event / CAPACITY for s in seeds]
    found = [
        Figure("rush: p99 of the others / without a rush", "", ratios, INNOCENT_BOUND),
        Figure("overload: goodput / capacity", "", goodput, GOODPUT_BOUND),
    ]
    return report("fairness", found, record=options.record)


if __name__ == "__main__":
    sys.exit(main())
