"""Probes the health endpoint of a backend server for its slowness and coldness.

One probe runs at a time, and concurrent callers share its result. The probe rate is limited.
After a probe that is not answered in time, requests start without a probe for a while.
"""

import asyncio
from collections.abc import Callable

from wheatslip.backendload import decode_backend_load
from wheatslip.slidinglimit import SlidingLimit

from wheatslipd.gate.backend import Backend
from wheatslipd.gate.gate import Gate
from wheatslipd.gate.health import ask_health, cold_remaining
from wheatslipd.http.messages import ResponseHead
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics

# The endpoint responds in a few milliseconds unless the server has a problem. With a longer
# timeout one lost response delays the next probe.
PROBE_TIMEOUT_SECONDS = 0.2
# Longest wait of a request for a probe, which continues after it. A shorter wait misses the
# response, a longer one costs more than the slow start that the probe may avoid.
REQUEST_WAIT_SECONDS = 0.02
# After an unanswered probe, requests start without one for this long. A shorter pause makes
# more requests wait for an answer that does not come; a longer one lets more of them start with
# an outdated report of the speed.
UNANSWERED_PAUSE_SECONDS = 0.5


class SpeedCheck:
    """Probes one backend server and passes the reported load and coldness to its gate."""

    def __init__(
        self,
        backend: Backend,
        names: HeaderNames,
        metrics: Metrics,
        clock: Callable[[], float],
        limit: SlidingLimit,
    ):
        """`names` has the names of the load and coldness headers in the endpoint's response."""
        self._backend = backend
        self._names = names
        self._metrics = metrics
        self._clock = clock
        self._limit = limit
        self._path = ""
        self._probe_task: asyncio.Task[bool] | None = None
        self._paused_until = float("-inf")
        self.has_path = asyncio.Event()
        self.on_response: Callable[[ResponseHead], None] = lambda head: None

    def use_path(self, path: str) -> None:
        """Set the path of the health endpoint; with an empty path, the server is not probed."""
        self._path = path
        if path:
            self.has_path.set()
        else:
            self.has_path.clear()

    async def probe(self, gate: Gate) -> None:
        """Send a probe, or wait for the one in flight."""
        probe = self._start_probe(gate)
        if probe is not None:
            await asyncio.shield(probe)

    async def probe_for_request(self, gate: Gate) -> None:
        """Probe before a request starts, waiting at most `REQUEST_WAIT_SECONDS`."""
        if self._clock() < self._paused_until:
            return
        probe = self._start_probe(gate)
        if probe is None:
            return
        done, _ = await asyncio.wait((probe,), timeout=REQUEST_WAIT_SECONDS)
        if not done or not probe.result():
            self._paused_until = self._clock() + UNANSWERED_PAUSE_SECONDS
            logs.info(
                "speed-check-unanswered", waited=REQUEST_WAIT_SECONDS, repeat_key="speed-check"
            )

    def _start_probe(self, gate: Gate) -> asyncio.Task[bool] | None:
        """Return the probe in flight, or start one; None if no probe may be sent."""
        if self._probe_task is not None and not self._probe_task.done():
            return self._probe_task
        if not self._path:
            return None
        if not self._limit.take(self._clock()):
            logs.info("speed-check-over-limit", repeat_key="speed-check-limit")
            return None
        self._probe_task = asyncio.get_running_loop().create_task(self._send_probe(gate))
        return self._probe_task

    async def _send_probe(self, gate: Gate) -> bool:
        """Send one probe; return whether the server answered."""
        self._metrics.probes.inc({})
        head = await ask_health(self._backend, self._path, PROBE_TIMEOUT_SECONDS)
        if head is None:
            return False
        gate.on_answer()
        self.on_response(head)
        remaining = cold_remaining(head, self._names.cold)
        if remaining is not None:
            gate.update_cold_state(remaining)
        load = decode_backend_load(head.get(self._names.load) or b"")
        if load is not None:
            gate.update_load(load)
        else:
            gate.assume_usual_speed()
        return True
