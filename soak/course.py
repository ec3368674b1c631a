"""The course of one soak: which fault begins when, drawn from a seed. Pure code.

Faults come in series and overlap: the next begins before the one before has ended about as
often as not. Times are seconds from the start of the traffic.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

FIRST = 2.0  # seconds of calm before the first fault
LAST = 6.0  # seconds of calm behind the last one, in which all must be well again
PAUSE = 1.5  # seconds between the begins of two faults, mean
SHORTEST = 0.5  # seconds that a fault lasts
LONGEST = 4.0
RESTART = 3.0  # seconds from one planned restart to the next


class Fault(StrEnum):
    """What is done from outside."""

    KILL = "kill"  # a daemon, by SIGKILL; it is started again at the end
    STOP = "stop"  # a daemon, by SIGTERM; the same
    FREEZE = "freeze"  # a daemon, by SIGSTOP and SIGCONT
    SLOW_SERVER = "slow-server"
    FAILING_SERVER = "failing-server"
    DRAIN = "drain"  # the platform lists an instance as leaving, and as live at the end
    PLATFORM_DOWN = "platform-down"
    PLATFORM_SLOW = "platform-slow"
    LOST_WRITES = "lost-writes"  # the platform writes, and does not answer
    ROLLOUT = "rollout"  # the operators bring the next bundle in force
    ZONE_DRAIN = "zone-drain"  # an operator drains a zone, and restores it at the end
    SILENCE = "silence"  # open connections between daemons and to the platform say nothing more


ON_INSTANCE = frozenset(
    {
        Fault.KILL,
        Fault.STOP,
        Fault.FREEZE,
        Fault.SLOW_SERVER,
        Fault.FAILING_SERVER,
        Fault.DRAIN,
    }
)
# Drawn for themselves, so that the rest of a seed's course stays as it was.
SEPARATE = (Fault.SILENCE,)
SILENCES = 20.0  # seconds between two, mean
ON_PLATFORM = frozenset({Fault.PLATFORM_DOWN, Fault.PLATFORM_SLOW, Fault.LOST_WRITES})


@dataclass(frozen=True, slots=True)
class Step:
    """One fault: from `at` for `seconds`, at the instance or zone `where` (empty: neither)."""

    at: float
    fault: Fault
    where: str
    seconds: float

    @property
    def end(self) -> float:
        """When it is over."""
        return self.at + self.seconds


def draw(
    seed: int, seconds: float, instances: Sequence[str], zones: Sequence[str]
) -> list[Step]:
    """The steps of a soak of so many seconds.

    No instance and no zone has two faults at a time, and one instance at least has none: with
    all of them away, the answers would show nothing.
    """
    rng = Random(f"soak {seed}")
    drawn = [fault for fault in Fault if fault not in SEPARATE]
    steps: list[Step] = []
    at = FIRST
    while at < seconds - LAST - SHORTEST:
        fault = rng.choice(drawn)
        length = min(rng.uniform(SHORTEST, LONGEST), seconds - LAST - at)
        step = _place(rng, fault, at, length, steps, instances, zones)
        if step is not None:
            steps.append(step)
        at += rng.expovariate(1 / PAUSE)
    return sorted([*steps, *_silences(seed, seconds)], key=lambda step: step.at)


def _silences(seed: int, seconds: float) -> list[Step]:
    rng = Random(f"soak silences {seed}")
    steps: list[Step] = []
    at = FIRST + rng.expovariate(1 / SILENCES)
    while at < seconds - LAST:
        steps.append(Step(at, Fault.SILENCE, "", 0.0))
        at += rng.expovariate(1 / SILENCES)
    return steps


def beside_other_version(
    others: Sequence[str], own: Sequence[str], zones: Sequence[str]
) -> tuple[list[Step], list[Step]]:
    """The course for a fleet of which `others` run another version's code: what is done while
    both run, and the updates of `others`, with a change of the configuration behind them.
    """
    begin, restarts = 26.0, [*others, *own]
    steps = [
        Step(2.0, Fault.ROLLOUT, "", 1.0),
        Step(6.0, Fault.ZONE_DRAIN, zones[0], 4.0),
        Step(13.0, Fault.DRAIN, others[0], 2.0),
        Step(16.0, Fault.DRAIN, own[0], 2.0),
        Step(22.0, Fault.ROLLOUT, "", 1.0),
        *_restarts(restarts, begin),
        Step(begin + RESTART * len(restarts), Fault.ZONE_DRAIN, zones[1], 4.0),
    ]
    updates = _restarts(others, FIRST)
    return steps, [*updates, Step(updates[-1].end + RESTART, Fault.ROLLOUT, "", 1.0)]


def _restarts(names: Sequence[str], begin: float) -> list[Step]:
    """Planned stops of daemons, one after the other."""
    return [
        Step(begin + RESTART * number, Fault.STOP, name, 1.0)
        for number, name in enumerate(names)
    ]


def _place(
    rng: Random,
    fault: Fault,
    at: float,
    length: float,
    before: Sequence[Step],
    instances: Sequence[str],
    zones: Sequence[str],
) -> Step | None:
    """The step, where there is room for it now."""
    running = [step for step in before if step.end > at]
    taken = {step.where for step in running}
    if fault in ON_INSTANCE:
        free = [name for name in instances if name not in taken]
        return Step(at, fault, rng.choice(free), length) if len(free) > 1 else None
    if fault is Fault.ZONE_DRAIN:
        if any(step.fault is fault for step in running):
            return None
        return Step(at, fault, rng.choice(list(zones)), length)
    if any(step.fault is fault for step in running):
        return None
    if fault in ON_PLATFORM and any(step.fault in ON_PLATFORM for step in running):
        return None
    return Step(at, fault, "", length)
