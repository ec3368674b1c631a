"""A fake backend server with the daemon's gate before it."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp
from random import Random

from wheatslip.admission import Admission, AdmissionSettings, Ticket
from wheatslip.call import Call
from wheatslip.hop import LoadReport
from wheatslip.outcome import Answered, NotRun, Outcome, Reason, Unknown

from bench.decisions.clock import VirtualClock

FAIL_FAST_SECONDS = 0.0005
ANSWER_GOOD = Answered(200)
ANSWER_FAILED = Answered(500)
Reply = Callable[[Outcome, LoadReport | None], None]


@dataclass(slots=True)
class Condition:
    """What ails a server. Faults are switched by the cases."""

    slow: float = 1.0
    fail_fast: bool = False
    down: bool = False  # refuses connections
    warm_from: float = float("-inf")  # when it started cold
    cold_factor: float = 5.0
    warm_seconds: float = 1.0  # the cold factor falls to 1/e of it in this time

    def factor(self, now: float) -> float:
        """What a service time is multiplied with at `now`."""
        cold = (self.cold_factor - 1) * exp(-(now - self.warm_from) / self.warm_seconds)
        return self.slow * (1.0 + max(0.0, cold))


@dataclass(eq=False)
class FakeServer:
    """Slots with a first-in-first-out queue behind them, and the gate in front."""

    name: str
    zone: str
    clock: VirtualClock
    rng: Random
    slots: int
    service: float  # mean, seconds
    sigma: float
    settings: AdmissionSettings
    report_delay: float = 0.0
    condition: Condition = field(default_factory=Condition)
    admission: Admission = field(init=False)
    busy: int = 0
    backlog: deque[tuple[Ticket, Reply]] = field(default_factory=deque)
    waiting: dict[Ticket, Reply] = field(default_factory=dict)
    history: deque[tuple[float, LoadReport]] = field(default_factory=deque)
    worked: float = 0.0  # slot seconds

    def __post_init__(self) -> None:
        self.admission = Admission(self.settings)

    def receive(self, call: Call, max_wait: float, reply: Reply) -> None:
        """A forwarded request has come to the gate."""
        now = self.clock.now
        if self.condition.down:
            reply(NotRun(Reason.UNREACHABLE), None)
            return
        ticket = self.admission.arrive(call, now, max_wait)
        for evicted in self.admission.evicted():
            self.waiting.pop(evicted)(NotRun(Reason.OVER_SHARE, 0.5), self.report())
        if isinstance(ticket, NotRun):
            reply(ticket, self.report())
        elif ticket.started is not None:
            self._start(ticket, reply)
        else:
            self.waiting[ticket] = reply
            latest = self.admission.latest_start(call, now)
            self.clock.at(max(now, latest), lambda: self._give_up(ticket))

    def report(self) -> LoadReport:
        """The load, as old as the case wants it."""
        now = self.clock.now
        admission = self.admission
        report = LoadReport(
            admission.in_flight,
            admission.queued,
            admission.limit.value,
            admission.service_estimate(now),
            1,
            admission.draining,
        )
        if not self.report_delay:
            return report
        self.history.append((now, report))
        while len(self.history) > 1 and self.history[1][0] <= now - self.report_delay:
            self.history.popleft()
        return self.history[0][1]

    def drain(self) -> None:
        """Leave: refuse new work, send away what waits."""
        self.admission.draining = True
        for ticket in list(self.waiting):
            self.admission.withdraw(ticket)
            self.waiting.pop(ticket)(NotRun(Reason.DRAINING), self.report())

    def _start(self, ticket: Ticket, reply: Reply) -> None:
        if self.condition.fail_fast:
            self.clock.after(
                FAIL_FAST_SECONDS, lambda: self._finish(ticket, reply, ANSWER_FAILED)
            )
        elif self.busy < self.slots:
            self._work(ticket, reply)
        else:
            self.backlog.append((ticket, reply))

    def _work(self, ticket: Ticket, reply: Reply) -> None:
        self.busy += 1
        tail = self.rng.lognormvariate(-(self.sigma**2) / 2, self.sigma)
        took = self.service * tail * self.condition.factor(self.clock.now)
        self.worked += took
        self.clock.after(took, lambda: self._worked(ticket, reply))

    def _worked(self, ticket: Ticket, reply: Reply) -> None:
        self.busy -= 1
        if self.backlog:
            self._work(*self.backlog.popleft())
        if ticket.call.deadline < self.clock.now:
            self._finish(ticket, reply, Unknown(Reason.DEADLINE))
        else:
            self._finish(ticket, reply, ANSWER_GOOD)

    def _finish(self, ticket: Ticket, reply: Reply, outcome: Outcome) -> None:
        started = self.admission.finish(ticket, self.clock.now, worked=outcome is ANSWER_GOOD)
        for other in started:
            self._start(other, self.waiting.pop(other))
        reply(outcome, self.report())

    def _give_up(self, ticket: Ticket) -> None:
        if self.admission.withdraw(ticket):
            self.waiting.pop(ticket)(NotRun(Reason.DEADLINE), self.report())
