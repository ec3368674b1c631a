"""Servers whose speed switches, with and without asking them before a start.

Run `python -m bench.decisions.speeds`. It plays two gates that are alike but for the price of a
question: what targets are met, and for how many questions. Exit code 1 if asking does not pay.
"""

import argparse
import sys
from dataclasses import dataclass, field
from random import Random

import numpy as np
from rich.console import Console
from rich.table import Table
from wheatslip.admission import Admission, AdmissionSettings, Ticket
from wheatslip.call import Call, RequestKind
from wheatslip.outcome import NotRun

from bench.decisions.clock import VirtualClock
from bench.figures import Bound, Figure, add_record_option, report

SEEDS = 15
SECONDS = 40.0  # of arrivals
WARM = 5.0  # seconds that only teach
ASK_SECONDS = 0.002  # until the answer to a question
RECOVERY_SECONDS = 0.05  # between questions while a call waits for a slow stretch to end
NEVER = 1.0  # a price at which nothing is worth a question
VIEW = RequestKind("view", repeatable=True)


@dataclass(frozen=True, slots=True)
class Setting:
    """One kind of server and of calls to it. Seconds; `slow` is a factor."""

    name: str
    service: float
    target: float
    deadline: float
    rate: float  # calls a second at one server
    slots: int
    fast: float  # mean length of a fast stretch
    slow_stretch: float
    slow: float
    least: float  # bound on the targets met with questions against without
    cold: float = 1.0  # how much slower the server is at all times, as one that just started


# The first is like the users' tenant portal, the second like their parking: short work, long
# stretches, and most calls meet their target on a slow server too, so that asking has little to
# gain. The third has only started. The bounds are a little under the first run's medians.
SETTINGS = (
    Setting("long work, short stretches", 0.22, 0.6, 2.5, 18.0, 14, 0.6, 0.2, 5.0, 1.03),
    Setting("short work, long stretches", 0.02, 0.1, 0.4, 30.0, 4, 0.9, 0.45, 4.0, 0.97),
    Setting("long work, cold", 0.22, 0.6, 2.5, 12.0, 14, 0.6, 0.2, 5.0, 1.08, cold=2.0),
)


@dataclass(slots=True)
class Speed:
    """The stretches of one server, drawn as they come."""

    setting: Setting
    rng: Random
    is_slow: bool = False
    ends: float = 0.0

    def slowness(self, now: float) -> float:
        """How long work that starts now takes, as a part of the usual."""
        while now >= self.ends:
            self.is_slow = not self.is_slow
            mean = self.setting.slow_stretch if self.is_slow else self.setting.fast
            self.ends += self.rng.expovariate(1 / mean)
        return self.setting.cold * (self.setting.slow if self.is_slow else 1.0)


@dataclass(slots=True)
class Tally:
    """What came of the calls of one run."""

    asked: int = 0
    met: int = 0
    late: int = 0
    questions: int = 0


@dataclass(slots=True)
class Run:
    """One server behind its gate. A call that is refused has failed: there is no other."""

    setting: Setting
    price: float
    seed: int
    clock: VirtualClock = field(default_factory=VirtualClock)
    tally: Tally = field(default_factory=Tally)
    admission: Admission = field(init=False)
    speed: Speed = field(init=False)
    rng: Random = field(init=False)
    waiting: set[Ticket] = field(default_factory=set)
    is_asking: bool = False

    def __post_init__(self) -> None:
        self.admission = Admission(AdmissionSettings(slots=self.setting.slots))
        self.speed = Speed(self.setting, Random(f"speed-{self.seed}"))
        self.rng = Random(f"work-{self.seed}")

    def play(self) -> Tally:
        """Play all arrivals to their end."""
        arrivals = np.random.default_rng([self.seed]).exponential(
            1 / self.setting.rate, int(SECONDS * self.setting.rate)
        )
        for when in np.cumsum(arrivals):
            self.clock.at(float(when), self._arrive)
        self.clock.run()
        return self.tally

    def _arrive(self) -> None:
        now = self.clock.now
        setting = self.setting
        hold = now + setting.target - setting.service * setting.cold
        target = now + setting.target
        call = Call("w", "s", VIEW, now + setting.deadline, target=target, hold_until=hold)
        if now >= WARM:
            self.tally.asked += 1
        if self.admission.gain_of_asking(call, now) <= self.price:
            self._enter(call)
            return
        self.tally.questions += now >= WARM
        self.clock.after(ASK_SECONDS, lambda: self._told(call))

    def _told(self, call: Call) -> None:
        self._hear()
        self._enter(call)

    def _hear(self) -> None:
        now = self.clock.now
        self.admission.learn_speed(self.speed.slowness(now), now)

    def _enter(self, call: Call) -> None:
        ticket = self.admission.arrive(call, self.clock.now)
        if isinstance(ticket, NotRun):
            return
        if ticket.started is not None:
            self._work(ticket)
            return
        self.waiting.add(ticket)
        self.clock.at(call.hold_until, lambda: self._give_up(ticket))
        self._ask_again()

    def _ask_again(self) -> None:
        if not self.is_asking:
            self.is_asking = True
            self.clock.after(RECOVERY_SECONDS, self._recover)

    def _recover(self) -> None:
        self.is_asking = False
        if self.waiting:
            self.tally.questions += self.clock.now >= WARM
            self._hear()
            self._start(self.admission.admit(self.clock.now))
            self._ask_again()

    def _give_up(self, ticket: Ticket) -> None:
        if ticket not in self.waiting:
            return
        self.waiting.discard(ticket)
        if self.admission.expire(ticket, self.clock.now):
            self._work(ticket)

    def _start(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            self.waiting.discard(ticket)
            self._work(ticket)

    def _work(self, ticket: Ticket) -> None:
        now = self.clock.now
        took = self.setting.service * self.rng.lognormvariate(-0.045, 0.3)
        self.clock.after(took * self.speed.slowness(now), lambda: self._worked(ticket))

    def _worked(self, ticket: Ticket) -> None:
        now = self.clock.now
        self._hear()
        if ticket.arrived >= WARM:
            self.tally.met += now <= ticket.call.target
            self.tally.late += now > ticket.call.target
        self._start(self.admission.finish(ticket, now, worked=True))


def main() -> int:
    """Run the bench; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--price", type=float, default=0.02, help="of a question")
    parser.add_argument("--seeds", type=int, default=SEEDS)
    add_record_option(parser)
    options = parser.parse_args()
    table = Table(title="servers whose speed switches: medians over the seeds")
    for column in ("setting", "price", "met", "late", "questions a call"):
        table.add_column(column, justify="left" if column == "setting" else "right")
    figures = []
    for setting in SETTINGS:
        met: dict[float, list[float]] = {}
        for price in (NEVER, options.price):
            tallies = [Run(setting, price, seed + 1).play() for seed in range(options.seeds)]
            met[price] = [t.met / t.asked for t in tallies]
            cells = (
                met[price],
                [t.late / t.asked for t in tallies],
                [t.questions / t.asked for t in tallies],
            )
            medians = (f"{sorted(cell)[len(cell) // 2]:.3f}" for cell in cells)
            table.add_row(setting.name, f"{price:g}", *medians)
        gains = [a / b for a, b in zip(met[options.price], met[NEVER], strict=True)]
        bound = Bound(least=setting.least)
        figures.append(Figure(f"{setting.name}: met / unasked", "", gains, bound))
    Console(width=120).print(table)
    return report("speeds", figures, record=options.record)


if __name__ == "__main__":
    sys.exit(main())
