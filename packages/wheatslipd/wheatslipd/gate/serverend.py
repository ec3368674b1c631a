"""Finds out whether the local backend server has ended, and which requests it ran then.

A connection that breaks is no end: a server in trouble may reset some connections and go on. It
has ended when no request is left on the connections that it had, and nothing listens at its
address any more, which one connection tells.
"""

import asyncio
from collections.abc import Callable

from wheatslip.admission import ClosedBy
from wheatslip.runtracker import EndedRuns, RunTracker

from wheatslipd.controllers.bus import Bus
from wheatslipd.controllers.events import server_ended
from wheatslipd.gate.backend import Backend
from wheatslipd.gate.gate import Gate
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics

# Seconds from a check that found the server listening to the next one. Shorter, a server that
# resets many connections gets as many more; longer, the requests that wait for the check wait
# longer.
CHECK_PAUSE = 0.05
# Seconds in which all connections of a process that has ended break. A server that resets some,
# or refuses one more because it is full, goes on with the others.
BREAK_SECONDS = 0.01
MAX_LOGGED = 16  # fingerprints in the line of one end


class ServerEnds:
    """Checks one backend server when an answer of it is lost."""

    def __init__(
        self,
        backend: Backend,
        gate: Gate,
        bus: Bus,
        metrics: Metrics,
        clock: Callable[[], float],
    ):
        """`clock` in seconds, monotonic."""
        self.exposure = RunTracker()
        self._backend = backend
        self._gate = gate
        self._bus = bus
        self._metrics = metrics
        self._clock = clock
        self._running: asyncio.Task[bool] | None = None
        self._next_at = float("-inf")

    async def check(self) -> bool:
        """Whether the server has ended; all that ask meanwhile share the answer."""
        return await asyncio.shield(self.begin_check())

    def begin_check(self) -> asyncio.Task[bool]:
        """Begin a check, if none is running; returns the one that runs."""
        if self._running is None or self._running.done():
            self._running = asyncio.get_running_loop().create_task(self._check())
        return self._running

    async def _check(self) -> bool:
        if self.exposure.running:
            await asyncio.sleep(BREAK_SECONDS)
        if self.exposure.running:
            return False
        await asyncio.sleep(max(0.0, self._next_at - self._clock()))
        is_gone = await self._backend.refuses_connections()
        self._next_at = self._clock() + CHECK_PAUSE
        if is_gone:
            self._note_end()
        return is_gone

    def _note_end(self) -> None:
        exposed = self.exposure.server_ended(self._clock())
        if not exposed.runs:
            return  # nobody was harmed, or this end was noted already
        self._metrics.server_ends.inc({})
        self._log(exposed)
        if not self._gate.is_closed_by(ClosedBy.SERVER_LEAVES):
            # An end that was announced is no sign against what ran to its end.
            self._bus.fire(server_ended(exposed))
        self._gate.on_ended()

    def _log(self, exposed: EndedRuns) -> None:
        logs.warning(
            "backend-ended",
            running=exposed.runs,
            answered_before=exposed.answered_before,
            suspects=",".join(run.fingerprint for run in exposed.suspects[:MAX_LOGGED]) or "-",
        )
