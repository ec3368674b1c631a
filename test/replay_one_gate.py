"""Replays requests of 84 workspaces at one gate above its capacity, in virtual time.

The admission code is real; callers, entry and backend server are simulated. The gate's queue
and its timers work as in `wheatslipd.gate.gate`, without a network.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate, count
from random import Random

from wheatslip.admission import RANKED_URGENT_SHARE, Admission, AdmissionSettings, Ticket
from wheatslip.call import COMMON_RANK, Call, CallClass, Rank, RequestKind
from wheatslip.outcome import NotRun

SLOTS = 12
QUEUE = 64
LOAD = 1.3  # of the capacity
WORKSPACES = tuple(f"w{number:02}" for number in range(84))
SECONDS = 30.0
HOT_START_SECONDS = 10.0
HOT_SECONDS = 6.0
HOT_FACTOR = 7.0
SERVICE_SPREAD = 0.2  # service times are up to this part shorter or longer than usual


@dataclass(frozen=True, slots=True)
class ReplayKind:
    """A kind of request; times in seconds. `load` is its part of the work of all requests."""

    name: str
    work: float
    target: float
    deadline: float
    priority: int
    load: float
    is_call: bool = False  # made by a backend server, without a workspace


# The three kinds of callers' requests are equally frequent.
_CALLERS_WORK = 0.14 + 0.18 + 0.44
KINDS = (
    ReplayKind("first", 0.14, 0.4, 2.5, 0, 0.8 * 0.14 / _CALLERS_WORK),
    ReplayKind("second", 0.18, 0.5, 2.5, 1, 0.8 * 0.18 / _CALLERS_WORK),
    ReplayKind("third", 0.44, 2.5, 8.0, 2, 0.8 * 0.44 / _CALLERS_WORK),
)
SERVER_CALL = ReplayKind("server-call", 0.044, 0.15, 0.5, 0, 0.2, is_call=True)


@dataclass(slots=True)
class Counts:
    """Requests sent and requests answered within their target, by some name."""

    sent: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)

    def ratio(self, *names: str) -> float:
        """The served part of the requests of `names`; of all without names."""
        chosen = names or tuple(self.sent)
        return sum(self.served[n] for n in chosen) / sum(self.sent[n] for n in chosen)


@dataclass(slots=True)
class Replay:
    """One gate and its backend server; times in virtual seconds.

    With `ranked`, calls have ranks and the gate's settings are those of a configuration with
    credentials. The workspace `hot`, if any, sends `hot_factor` times its usual rate for
    `HOT_SECONDS`.
    """

    seed: int
    ranked: bool
    hot: str = ""
    hot_factor: float = HOT_FACTOR
    by_kind: Counts = field(default_factory=Counts)
    by_workspace: Counts = field(default_factory=Counts)
    hot_period: Counts = field(default_factory=Counts)  # sent while one is hot; see `usual`
    refused_after_seconds: list[float] = field(default_factory=list)
    _now: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: "count[int]" = field(default_factory=count)  # orders events of the same time
    _gate: Admission = field(init=False)
    _rng: Random = field(init=False)

    def __post_init__(self) -> None:
        settings = AdmissionSettings(slots=SLOTS, queue=QUEUE)
        if self.ranked:
            settings = AdmissionSettings(SLOTS, QUEUE, RANKED_URGENT_SHARE, has_ranks=True)
        self._gate = Admission(settings)
        self._rng = Random(self.seed)

    def run(self) -> "Replay":
        """Replays all requests until the last one has ended."""
        weights = [1.0 / (number + 1) for number in range(len(WORKSPACES))]
        bounds = list(accumulate(weights))
        for kind in (*KINDS, SERVER_CALL):
            rate = kind.load * LOAD * SLOTS / kind.work
            # One generator per kind, so that a hot workspace changes no other request.
            rng = Random(f"{self.seed} {kind.name}")
            for when in _poisson(rng, rate, 0.0, SECONDS):
                workspace = rng.choices(WORKSPACES, cum_weights=bounds)[0]
                self._schedule_arrival(when, workspace, kind)
            if self.hot and not kind.is_call:
                usual_rate = rate * weights[WORKSPACES.index(self.hot)] / bounds[-1]
                for when in _poisson(
                    rng,
                    usual_rate * (self.hot_factor - 1),
                    HOT_START_SECONDS,
                    HOT_START_SECONDS + HOT_SECONDS,
                ):
                    self._schedule_arrival(when, self.hot, kind)
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            event()
        return self

    def _schedule(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), event))

    def _schedule_arrival(self, when: float, workspace: str, kind: ReplayKind) -> None:
        self._schedule(when, lambda: self._arrive(workspace, kind))

    def _arrive(self, workspace: str, kind: ReplayKind) -> None:
        now = self._now
        call_class = CallClass.URGENT if kind.is_call else CallClass.NORMAL
        call = Call(
            "owner" if kind.is_call else workspace,
            "service",
            RequestKind(kind.name, True, call_class),
            now + kind.deadline,
            target=now + kind.target,
            hold_until=now + kind.target,
            rank=Rank(0, kind.priority) if self.ranked else COMMON_RANK,
        )
        for counts in self._counts(call, now):
            counts.sent[self._name(counts, call)] += 1
        ticket = self._gate.arrive(call, now)
        for evicted in self._gate.take_evicted():
            self.refused_after_seconds.append(now - evicted.arrived)
        for refused in self._gate.take_displaced():
            self.refused_after_seconds.append(now - refused.ticket.arrived)
        if isinstance(ticket, NotRun):
            self.refused_after_seconds.append(0.0)
        elif ticket.started is not None:
            self._start(ticket)
        else:
            latest_start = max(now, self._gate.timing.latest_start(call, now))
            self._schedule(latest_start, lambda: self._expire(ticket))

    def _expire(self, ticket: Ticket) -> None:
        if ticket.started is not None or not self._gate.withdraw(ticket):
            return
        if self._gate.expire(ticket, self._now):
            self._start(ticket)
        else:
            self.refused_after_seconds.append(self._now - ticket.arrived)

    def _start(self, ticket: Ticket) -> None:
        kind = next(k for k in (*KINDS, SERVER_CALL) if k.name == ticket.call.kind.name)
        spread = self._rng.uniform(1.0 - SERVICE_SPREAD, 1.0 + SERVICE_SPREAD)
        self._schedule(self._now + kind.work * spread, lambda: self._finish(ticket))

    def _finish(self, ticket: Ticket) -> None:
        for started in self._gate.finish(ticket, self._now, worked=True):
            self._start(started)
        call = ticket.call
        if self._now <= call.target:
            for counts in self._counts(call, ticket.arrived):
                counts.served[self._name(counts, call)] += 1

    def _counts(self, call: Call, arrived: float) -> list[Counts]:
        if call.call_class is CallClass.URGENT:
            return [self.by_kind]
        is_hot_period = 0.0 <= arrived - HOT_START_SECONDS < HOT_SECONDS
        return [
            self.by_kind,
            self.by_workspace,
            *([self.hot_period] if is_hot_period else []),
        ]

    def _name(self, counts: Counts, call: Call) -> str:
        if counts is self.hot_period:
            return f"{call.workspace} {call.kind.name}"
        return call.kind.name if counts is self.by_kind else call.workspace

    def usual(self, hot: str, *kinds: ReplayKind) -> float:
        """The served part, in the hot period, of the requests of all workspaces but `hot`."""
        names = [f"{w} {kind.name}" for w in WORKSPACES if w != hot for kind in kinds or KINDS]
        return self.hot_period.ratio(*names)


def replay_seeds(
    seeds: range, *, ranked: bool, hot: str = "", hot_factor: float = HOT_FACTOR
) -> Replay:
    """Replays all seeds and returns one replay with their counts together."""
    total = Replay(0, ranked, hot, hot_factor)
    for seed in seeds:
        replay = Replay(seed, ranked, hot, hot_factor).run()
        for sums, counts in (
            (total.by_kind, replay.by_kind),
            (total.by_workspace, replay.by_workspace),
            (total.hot_period, replay.hot_period),
        ):
            sums.sent += counts.sent
            sums.served += counts.served
        total.refused_after_seconds += replay.refused_after_seconds
    return total


def _poisson(rng: Random, rate: float, start: float, end: float) -> list[float]:
    times = []
    when = start
    while (when := when + rng.expovariate(rate)) < end:
        times.append(when)
    return times
