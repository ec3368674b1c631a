"""The cases: what is offered, what fails and when. Each is a function that sets up a world."""

from collections.abc import Callable
from dataclasses import dataclass

from bench.decisions.world import Burst, Layout, World

SECONDS = 8.0  # of arrivals
FAULT_AT = 3.0
FAULT_END = 6.0
BASE_LOAD = 0.7
AT_EAST = Layout()
DSS = Layout(slots=6, far=0.0005)
SetUp = Callable[[World], None]


@dataclass(frozen=True, slots=True)
class Case:
    """One case. `is_fault` picks the goal that it is held against."""

    name: str
    set_up: SetUp
    layout: Layout = AT_EAST
    is_fault: bool = True
    report_delay: float = 0.0
    seconds: float = SECONDS
    # Whether one queue that knows all but is not fair is a limit worth comparing with.
    has_ideal: bool = True


def names(world: World) -> list[str]:
    """The workspaces of a world."""
    return [f"workspace-{number}" for number in range(world.layout.workspaces)]


def base(world: World, load: float = BASE_LOAD) -> None:
    """Even load of all workspaces."""
    world.offer(Burst(0.0, world.seconds, load * world.layout.capacity, names(world)))


def steady(world: World) -> None:
    """Nothing happens."""
    base(world)


def exam_rush(world: World) -> None:
    """One workspace asks ten times its part."""
    base(world)
    one = names(world)[0]
    extra = 9 * BASE_LOAD * world.layout.capacity / world.layout.workspaces
    world.offer(Burst(FAULT_AT, FAULT_END, extra, [one]))
    world.innocents = frozenset(names(world)[1:])


def arrival_wave(world: World) -> None:
    """The load goes from 40 % to 95 % within a moment and back."""
    base(world, 0.4)
    world.offer(Burst(FAULT_AT, FAULT_END, 0.55 * world.layout.capacity, names(world)))


def slow_down(world: World) -> None:
    """One server takes ten times as long for a while."""
    base(world, 0.6)
    _switch(world, 0, "slow", 10.0, 1.0)


def fail_fast(world: World) -> None:
    """One server answers everything with an error at once."""
    base(world, 0.6)
    _switch(world, 0, "fail_fast", True, False)


def cold_restart(world: World) -> None:
    """A third of the servers goes away for half a second and starts cold."""
    base(world, 0.5)
    for number in range(max(1, world.layout.servers // 3)):
        condition = world.servers[number].condition
        world.clock.at(FAULT_AT, lambda c=condition: setattr(c, "down", True))
        world.clock.at(FAULT_AT + 0.5, lambda c=condition: setattr(c, "down", False))
        world.clock.at(
            FAULT_AT + 0.5, lambda c=condition: setattr(c, "warm_from", FAULT_AT + 0.5)
        )


def lying_health(world: World) -> None:
    """The list says that a dead server is well and that a well one is not."""
    base(world, 0.5)
    world.servers[0].condition.down = True
    for entry in world.entries:
        entry.upstreams[1].healthy = False


def overload(world: World) -> None:
    """Three times the capacity for two seconds."""
    base(world)
    extra = (3.0 - BASE_LOAD) * world.layout.capacity
    world.offer(Burst(FAULT_AT, FAULT_AT + 2.0, extra, names(world)))


def two_leave(world: World) -> None:
    """Two servers leave together."""
    base(world, 0.4 * (world.layout.servers - 2) / 2)
    for number in (0, 1):
        world.clock.at(FAULT_AT, world.servers[number].drain)


def _switch(world: World, server: int, name: str, bad: object, good: object) -> None:
    condition = world.servers[server].condition
    world.clock.at(FAULT_AT, lambda: setattr(condition, name, bad))
    world.clock.at(FAULT_END, lambda: setattr(condition, name, good))


CASES = {
    case.name: case
    for case in (
        Case("steady at-east", steady, is_fault=False),
        Case("steady dss", steady, DSS, is_fault=False),
        Case("steady 33", steady, Layout(servers=33, slots=6, entries=100), is_fault=False),
        Case(
            "steady 330",
            steady,
            Layout(servers=330, slots=6, entries=330),
            is_fault=False,
            seconds=1.5,
        ),
        Case("stale reports", steady, is_fault=False, report_delay=0.5),
        Case("limit not told", steady, Layout(told_slots=False), is_fault=False),
        Case("exam rush", exam_rush, has_ideal=False),
        Case("arrival wave", arrival_wave, DSS),
        Case("slow-down", slow_down),
        Case("slow-down dss", slow_down, DSS),
        Case("fail fast", fail_fast),
        Case("cold restart", cold_restart),
        Case("lying health", lying_health),
        Case("overload", overload, has_ideal=False),
        Case("two leave", two_leave),
    )
}
