"""Schedule of a soak: which fault starts when, drawn from a seed. This module does no I/O.

Faults overlap: about half of them start before the previous one has ended. Times are in seconds
from the start of the traffic.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from standins.rude import Conduct

INITIAL_CALM_SECONDS = 2.0  # seconds before the first fault
FINAL_CALM_SECONDS = 6.0  # seconds after the last fault, in which the cluster must recover
MEAN_FAULT_INTERVAL_SECONDS = 1.5  # between the starts of two faults
MIN_FAULT_SECONDS = 0.5
MAX_FAULT_SECONDS = 4.0
RESTART_INTERVAL_SECONDS = 3.0  # between two planned restarts
RESTART_SECONDS = 2.0  # that a restart at the end of a fault may take


class Fault(StrEnum):
    """A fault or a planned operation that is applied from outside the daemons."""

    KILL = "kill"  # SIGKILL to a daemon; it is restarted at the end
    STOP = "stop"  # SIGTERM to a daemon; it is restarted at the end
    FREEZE = "freeze"  # SIGSTOP to a daemon; SIGCONT at the end
    SLOW_SERVER = "slow-server"
    FAILING_SERVER = "failing-server"
    DRAIN = "drain"  # the platform lists an instance as leaving, and as live at the end
    PLATFORM_DOWN = "platform-down"
    PLATFORM_SLOW = "platform-slow"
    LOST_WRITES = "lost-writes"  # the platform applies writes but does not answer them
    ROLLOUT = "rollout"  # the operators roll out the next bundle
    ZONE_DRAIN = "zone-drain"  # an operator drains a zone, and restores it at the end
    LIMITED_SERVER = "limited-server"  # names a rate; its daemon may have other faults
    SILENCE = "silence"  # open connections between daemons and to the platform go silent
    RUDE_CLIENTS = "rude-clients"  # a crowd that does not behave comes to a daemon's entry
    # With the routes interface only:
    PARTITION = "partition"  # a daemon's control port and its way to the platform say nothing
    LOWER_LIMIT = "lower-limit"  # during a partition of the daemon that grants its tokens
    REMOVE_CREDENTIAL = "remove-credential"  # after a silence, while a daemon hears nothing
    ISOLATE = "isolate"  # a daemon: nothing passes to or from it, but to and from its server
    FREEZE_SERVER = "freeze-server"  # nothing passes between a daemon and its server
    OVERLOAD = "overload"  # all servers are slow, while requests of two priorities come


INSTANCE_FAULTS = frozenset(
    {
        Fault.KILL,
        Fault.STOP,
        Fault.FREEZE,
        Fault.SLOW_SERVER,
        Fault.FAILING_SERVER,
        Fault.DRAIN,
    }
)
ROUTES_FAULTS = frozenset(
    {
        Fault.PARTITION,
        Fault.LOWER_LIMIT,
        Fault.REMOVE_CREDENTIAL,
        Fault.ISOLATE,
        Fault.FREEZE_SERVER,
        Fault.OVERLOAD,
    }
)
# Drawn from a separate random sequence, so that adding them did not change the other faults of
# a seed.
SEPARATELY_DRAWN_FAULTS = ROUTES_FAULTS | {
    Fault.SILENCE,
    Fault.LIMITED_SERVER,
    Fault.RUDE_CLIENTS,
}
MEAN_SILENCE_INTERVAL_SECONDS = 20.0
MEAN_LIMIT_INTERVAL_SECONDS = 6.0  # between the starts of two limits
LIMIT_SECONDS = 9.0  # longer than the windows in which the requests are counted
MEAN_CROWD_INTERVAL_SECONDS = 6.0  # between the starts of two crowds
CROWD_SECONDS = (2.0, 4.0)  # shortest and longest
MEAN_PARTITION_INTERVAL_SECONDS = 12.0
# Shortest and longest cuts, in seconds. A short isolation meets few requests. A frozen server
# goes on before the requests that it got exceed the timeout of their routes, 2 s.
CUT_SECONDS = {Fault.ISOLATE: (2.0, 4.0), Fault.FREEZE_SERVER: (0.8, 1.6)}
MEAN_CUT_INTERVAL_SECONDS = 15.0  # between two isolations or two frozen servers
MAX_UNCONFIRMED_SECONDS = 3.0  # without a confirmation, in which daemons accept credentials
UNCONFIRMED_SECONDS = 2 * MAX_UNCONFIRMED_SECONDS  # after a removal, without a confirmation
OVERLOAD_SECONDS = 3.0
PLATFORM_FAULTS = frozenset({Fault.PLATFORM_DOWN, Fault.PLATFORM_SLOW, Fault.LOST_WRITES})


@dataclass(frozen=True, slots=True)
class Step:
    """One fault that starts at `at` and lasts `seconds`. `where` names the affected instance or
    zone; it is empty for other faults. `conduct` is that of the clients of a crowd.
    """

    at: float
    fault: Fault
    where: str
    seconds: float
    conduct: Conduct | None = None

    @property
    def end(self) -> float:
        return self.at + self.seconds


def draw_schedule(
    seed: int, seconds: float, instances: Sequence[str], zones: Sequence[str]
) -> list[Step]:
    """The steps of a soak that lasts `seconds`.

    No instance and no zone has two faults at the same time, and at least one instance has none:
    without a working instance no request would be answered.
    """
    rng = Random(f"soak {seed}")
    candidates = [fault for fault in Fault if fault not in SEPARATELY_DRAWN_FAULTS]
    steps: list[Step] = []
    at = INITIAL_CALM_SECONDS
    while at < seconds - FINAL_CALM_SECONDS - MIN_FAULT_SECONDS:
        fault = rng.choice(candidates)
        duration = min(
            rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS), seconds - FINAL_CALM_SECONDS - at
        )
        step = _make_step(rng, fault, at, duration, steps, instances, zones)
        if step is not None:
            steps.append(step)
        at += rng.expovariate(1 / MEAN_FAULT_INTERVAL_SECONDS)
    separate_steps = [
        *_draw_silences(seed, seconds),
        *_draw_limits(seed, seconds, instances),
        *_draw_crowds(seed, seconds, instances),
    ]
    return sorted([*steps, *separate_steps], key=lambda step: step.at)


def _draw_silences(seed: int, seconds: float) -> list[Step]:
    rng = Random(f"soak silences {seed}")
    steps: list[Step] = []
    at = INITIAL_CALM_SECONDS + rng.expovariate(1 / MEAN_SILENCE_INTERVAL_SECONDS)
    while at < seconds - FINAL_CALM_SECONDS:
        steps.append(Step(at, Fault.SILENCE, "", 0.0))
        at += rng.expovariate(1 / MEAN_SILENCE_INTERVAL_SECONDS)
    return steps


def _draw_crowds(seed: int, seconds: float, instances: Sequence[str]) -> list[Step]:
    """Crowds, one after the other, whatever else happens to the daemons they come to."""
    rng = Random(f"soak crowds {seed}")
    steps: list[Step] = []
    at = INITIAL_CALM_SECONDS + rng.expovariate(1 / MEAN_CROWD_INTERVAL_SECONDS)
    while at < seconds - FINAL_CALM_SECONDS - CROWD_SECONDS[1]:
        duration = rng.uniform(*CROWD_SECONDS)
        where, conduct = rng.choice(list(instances)), rng.choice(list(Conduct))
        steps.append(Step(at, Fault.RUDE_CLIENTS, where, duration, conduct))
        at += duration + rng.expovariate(1 / MEAN_CROWD_INTERVAL_SECONDS)
    return steps


def _draw_limits(seed: int, seconds: float, instances: Sequence[str]) -> list[Step]:
    """Limits of servers; one server has one at a time, whatever happens to its daemon."""
    rng = Random(f"soak limits {seed}")
    steps: list[Step] = []
    at = INITIAL_CALM_SECONDS
    while at < seconds - FINAL_CALM_SECONDS - LIMIT_SECONDS:
        limited = {step.where for step in steps if step.end > at}
        free = [name for name in instances if name not in limited]
        if len(free) > 1:
            steps.append(Step(at, Fault.LIMITED_SERVER, rng.choice(free), LIMIT_SECONDS))
        at += rng.expovariate(1 / MEAN_LIMIT_INTERVAL_SECONDS)
    return steps


def draw_routes_steps(
    seed: int,
    seconds: float,
    instances: Sequence[str],
    owner: str,
    others: Sequence[Step] = (),
) -> list[Step]:
    """The additional steps of a soak with the routes interface. `owner` is the instance that
    grants the tokens of the hot workspace, `others` are the other steps.

    The limit is lowered once, early enough that the lower one is used for some windows, and a
    credential is removed once, while a daemon gets no confirmation.
    """
    rng = Random(f"soak routes {seed}")
    lowered_at = INITIAL_CALM_SECONDS + rng.uniform(3.0, 5.0)
    removed_at = rng.uniform(0.5, 0.6) * seconds
    steps = [Step(lowered_at, Fault.LOWER_LIMIT, owner, rng.uniform(1.0, 3.0))]
    at = lowered_at + rng.expovariate(1 / MEAN_PARTITION_INTERVAL_SECONDS)
    while at < seconds - FINAL_CALM_SECONDS - MAX_FAULT_SECONDS:
        duration = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        steps.append(Step(at, Fault.PARTITION, rng.choice(list(instances)), duration))
        at += duration + rng.expovariate(1 / MEAN_PARTITION_INTERVAL_SECONDS)
    for fault in (Fault.ISOLATE, Fault.FREEZE_SERVER):
        steps += _draw_cuts(fault, seed, seconds, instances)
    steps.append(_draw_removal(seed, removed_at, instances, [*steps, *others]))
    overload_at = seconds - FINAL_CALM_SECONDS - OVERLOAD_SECONDS
    return [*steps, Step(overload_at, Fault.OVERLOAD, "", OVERLOAD_SECONDS)]


def _draw_cuts(fault: Fault, seed: int, seconds: float, instances: Sequence[str]) -> list[Step]:
    """At least two cuts, the first two of different instances: other daemons send nothing to
    one that leaves or whose zone is drained.
    """
    rng = Random(f"soak {fault} {seed}")
    steps: list[Step] = []
    at = INITIAL_CALM_SECONDS + rng.uniform(1.0, 5.0)
    for where in rng.sample(list(instances), 2):
        steps.append(Step(at, fault, where, rng.uniform(*CUT_SECONDS[fault])))
        at = steps[-1].end + rng.uniform(1.0, 4.0)
    at = steps[-1].end + rng.expovariate(1 / MEAN_CUT_INTERVAL_SECONDS)
    while at < seconds - FINAL_CALM_SECONDS - MAX_FAULT_SECONDS:
        where = rng.choice(list(instances))
        steps.append(Step(at, fault, where, rng.uniform(*CUT_SECONDS[fault])))
        at = steps[-1].end + rng.expovariate(1 / MEAN_CUT_INTERVAL_SECONDS)
    return steps


def _draw_removal(
    seed: int, at: float, instances: Sequence[str], others: Sequence[Step]
) -> Step:
    """The removal of a credential. The daemon that hears nothing of it has no other fault then
    if possible, since faults of one instance follow each other.
    """
    rng = Random(f"soak unconfirmed {seed}")
    end = at + UNCONFIRMED_SECONDS
    occupied = {
        step.where for step in others if step.at < end and step.end + RESTART_SECONDS > at
    }
    free = [name for name in instances if name not in occupied] or list(instances)
    return Step(at, Fault.REMOVE_CREDENTIAL, rng.choice(free), UNCONFIRMED_SECONDS)


def mixed_version_schedule(
    others: Sequence[str], own: Sequence[str], zones: Sequence[str]
) -> tuple[list[Step], list[Step]]:
    """The fixed schedule for a fleet in which the daemons `others` run the code of another
    version. Returns the steps while both versions run, and then the steps that update `others`
    and change the configuration.
    """
    restarts_begin, names = 26.0, [*others, *own]
    steps = [
        Step(2.0, Fault.ROLLOUT, "", 1.0),
        Step(3.0, Fault.LIMITED_SERVER, own[-1], LIMIT_SECONDS),
        Step(6.0, Fault.ZONE_DRAIN, zones[0], 4.0),
        Step(13.0, Fault.DRAIN, others[0], 2.0),
        Step(16.0, Fault.DRAIN, own[0], 2.0),
        Step(22.0, Fault.ROLLOUT, "", 1.0),
        *_planned_restarts(names, restarts_begin),
        Step(
            restarts_begin + RESTART_INTERVAL_SECONDS * len(names),
            Fault.ZONE_DRAIN,
            zones[1],
            4.0,
        ),
    ]
    updates = _planned_restarts(others, INITIAL_CALM_SECONDS)
    return steps, [
        *updates,
        Step(updates[-1].end + RESTART_INTERVAL_SECONDS, Fault.ROLLOUT, "", 1.0),
    ]


def mixed_version_routes_steps(others: Sequence[str], owner: str) -> list[Step]:
    """The additional steps with the routes interface while daemons of two versions run. `owner`
    is the instance that grants the tokens of the hot workspace.
    """
    return [
        Step(4.0, Fault.LOWER_LIMIT, owner, 2.0),
        Step(18.0, Fault.REMOVE_CREDENTIAL, others[-1], UNCONFIRMED_SECONDS),
        Step(52.0, Fault.OVERLOAD, "", OVERLOAD_SECONDS),
    ]


def _planned_restarts(names: Sequence[str], begin: float) -> list[Step]:
    """Stops of daemons, one after the other."""
    return [
        Step(begin + RESTART_INTERVAL_SECONDS * number, Fault.STOP, name, 1.0)
        for number, name in enumerate(names)
    ]


def _make_step(
    rng: Random,
    fault: Fault,
    at: float,
    duration: float,
    earlier: Sequence[Step],
    instances: Sequence[str],
    zones: Sequence[str],
) -> Step | None:
    """The step for a fault at `at`, or None if it conflicts with the faults active then."""
    active = [step for step in earlier if step.end > at]
    occupied = {step.where for step in active}
    if fault in INSTANCE_FAULTS:
        free = [name for name in instances if name not in occupied]
        return Step(at, fault, rng.choice(free), duration) if len(free) > 1 else None
    if fault is Fault.ZONE_DRAIN:
        if any(step.fault is fault for step in active):
            return None
        return Step(at, fault, rng.choice(list(zones)), duration)
    if any(step.fault is fault for step in active):
        return None
    if fault in PLATFORM_FAULTS and any(step.fault in PLATFORM_FAULTS for step in active):
        return None
    return Step(at, fault, "", duration)
