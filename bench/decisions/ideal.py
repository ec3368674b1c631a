"""The limit: one queue that knows all. A call starts the moment any slot is free, and only
the way there and back is added. No policy without such knowledge can do better.
"""

from collections import deque
from collections.abc import Callable

from wheatslip.call import Call
from wheatslip.outcome import Answered, NotRun, Outcome, Reason

from bench.decisions.server import FakeServer
from bench.decisions.world import READ, World

_Waiting = tuple[Call, Callable[[Outcome], None]]


class IdealQueue:
    """Replaces the entries of a world: all calls pass through one queue."""

    def __init__(self, world: World):
        self._world = world
        self._waiting: deque[_Waiting] = deque()
        for entry in world.entries:
            entry.ask = self._ask  # type: ignore[method-assign]

    def _ask(self, workspace: str, deadline: float, on_end: Callable[[Outcome], None]) -> None:
        call = Call(workspace, "service", READ, self._world.clock.now + deadline)
        self._waiting.append((call, on_end))
        self._start_next()

    def _start_next(self) -> None:
        clock = self._world.clock
        while self._waiting:
            free = [s for s in self._world.servers if self._is_free(s)]
            if not free:
                return
            call, on_end = self._waiting.popleft()
            best = min(free, key=lambda s: (s.condition.factor(clock.now), s.busy))
            if call.deadline < clock.now + best.service:
                on_end(NotRun(Reason.DEADLINE))
                continue
            self._work(best, on_end)

    @staticmethod
    def _is_free(server: FakeServer) -> bool:
        condition = server.condition
        well = not condition.down and not condition.fail_fast
        return well and not server.admission.draining and server.busy < server.slots

    def _work(self, server: FakeServer, on_end: Callable[[Outcome], None]) -> None:
        world = self._world
        server.busy += 1
        tail = server.rng.lognormvariate(-(server.sigma**2) / 2, server.sigma)
        took = server.service * tail * server.condition.factor(world.clock.now)
        way = 2 * world.layout.near

        def done() -> None:
            server.busy -= 1
            world.clock.after(way, lambda: on_end(Answered(200)))
            self._start_next()

        world.clock.after(took, done)
