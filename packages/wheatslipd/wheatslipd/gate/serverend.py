"""Detects that the local backend server has ended, and which requests it was running.

The server has ended if no request is in flight on its connections any more and its port refuses
a new connection. A broken connection proves nothing: an overloaded server may reset some.
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

# Minimum time between two checks, each of which connects. A shorter one adds connections to a
# server that resets many; a longer one delays the requests that wait for the check.
CHECK_INTERVAL_SECONDS = 0.05
DISCONNECT_SECONDS = 0.01  # time within which all connections of an ended process break
MAX_LOGGED_FINGERPRINTS = 16  # in the log line of one end


class ServerEndDetector:
    """Checks whether the backend server has ended after a response was lost."""

    def __init__(
        self,
        backend: Backend,
        gate: Gate,
        bus: Bus,
        metrics: Metrics,
        clock: Callable[[], float],
    ):
        """`clock` is monotonic, in seconds."""
        self.exposure = RunTracker()
        self._backend = backend
        self._gate = gate
        self._bus = bus
        self._metrics = metrics
        self._clock = clock
        self._check_task: asyncio.Task[bool] | None = None
        self._next_check_at = float("-inf")

    async def has_server_ended(self) -> bool:
        """Whether the server has ended; concurrent callers share one check."""
        return await asyncio.shield(self.start_check())

    def start_check(self) -> asyncio.Task[bool]:
        """Start a check unless one is running; return the running one."""
        if self._check_task is None or self._check_task.done():
            self._check_task = asyncio.get_running_loop().create_task(self._check())
        return self._check_task

    async def _check(self) -> bool:
        if self.exposure.running:
            await asyncio.sleep(DISCONNECT_SECONDS)
        if self.exposure.running:
            return False
        await asyncio.sleep(max(0.0, self._next_check_at - self._clock()))
        has_ended = await self._backend.refuses_connections()
        self._next_check_at = self._clock() + CHECK_INTERVAL_SECONDS
        if has_ended:
            self._record_end()
        return has_ended

    def _record_end(self) -> None:
        exposed = self.exposure.server_ended(self._clock())
        if not exposed.runs:
            return  # no request was affected, or this end was recorded before
        self._metrics.server_ends.inc({})
        self._log_end(exposed)
        if not self._gate.is_closed_by(ClosedBy.SERVER_LEAVES):
            # After an announced end, the requests that were running are not suspects.
            self._bus.fire(server_ended(exposed))
        self._gate.on_server_ended()

    def _log_end(self, exposed: EndedRuns) -> None:
        logs.warning(
            "backend-ended",
            running=exposed.runs,
            answered_before=exposed.answered_before,
            suspects=",".join(
                run.fingerprint for run in exposed.suspects[:MAX_LOGGED_FINGERPRINTS]
            )
            or "-",
        )
