"""The task that looks after a silent backend server, within the operator's budget of probes.

Answers report the load at no cost, so the health endpoint is probed only in silence, when no
request has ended for a while. If its answer says that the server leaves, the daemon leaves too.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from wheatslipd.controllers.bus import Bus
from wheatslipd.controllers.events import leaving
from wheatslipd.gate.backend import Backend
from wheatslipd.gate.health import ask_health
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics

DRAINING_HEADER = b"x-draining"
# Seconds that a probe may take; a longer one only delays the next.
PROBE_TIMEOUT = 1.0


@dataclass(slots=True)
class ProbeBudget:
    """Allows at most `per_second` probes, evenly spaced. Pure; seconds, monotonic."""

    per_second: float
    last: float = float("-inf")

    def take(self, now: float) -> bool:
        """Whether a probe may be sent now; counts it if so."""
        if self.per_second <= 0 or now - self.last < 1.0 / self.per_second:
            return False
        self.last = now
        return True


class Measurer:
    """Probes one backend server while it is silent."""

    def __init__(
        self,
        backend: Backend,
        path: str,
        bus: Bus,
        metrics: Metrics,
        clock: Callable[[], float],
        is_silent: Callable[[float], bool],
    ):
        """`is_silent(seconds)`: whether nothing was answered for so long."""
        self._backend = backend
        self._path = path
        self._bus = bus
        self._metrics = metrics
        self._clock = clock
        self._is_silent = is_silent
        self.budget = ProbeBudget(1.0)

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            pause = 1.0 / self.budget.per_second if self.budget.per_second > 0 else 1.0
            await asyncio.sleep(pause)
            if self._is_silent(pause) and self.budget.take(self._clock()):
                await self._probe()

    async def _probe(self) -> None:
        started = self._clock()
        found = await ask_health(self._backend, self._path, PROBE_TIMEOUT)
        self._metrics.probes.inc({})
        self._metrics.probe_seconds.add({}, self._clock() - started)
        if found is None:
            logs.warning("probe-failed", repeat_key="probe")
        elif found.get(DRAINING_HEADER) == b"yes":
            self._bus.fire(leaving("the backend server says so"))
