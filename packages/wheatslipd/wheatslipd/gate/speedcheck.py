"""Probes of a backend server's health endpoint: how slow and how cold is it now?

One probe runs at a time, and all that ask for one meanwhile share its answer. The probes of any
second are bounded, and after one without an answer requests ask for none for a while.
"""

import asyncio
from collections.abc import Callable

from wheatslip.backendload import decode_backend_load
from wheatslip.slidinglimit import SlidingLimit

from wheatslipd.gate.backend import Backend
from wheatslipd.gate.gate import Gate
from wheatslipd.gate.health import ask_health, cold_remaining
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics

# Seconds that a probe may take. The endpoint answers in a few milliseconds, or is in trouble;
# longer, one lost answer holds up the next probe.
TIMEOUT = 0.2
# Seconds that a request waits for the answer; the probe itself goes on. Shorter, answers come
# too late for it; longer, it costs more than the slow start that it may spare.
REQUEST_TIMEOUT = 0.02
# Seconds without probes for requests after one that was not answered in time: less holds up
# more requests for nothing, more starts them on old reports.
UNANSWERED_PAUSE = 0.5


class SpeedCheck:
    """Probes one backend server, and lets its gate know what it reports."""

    def __init__(
        self,
        backend: Backend,
        names: HeaderNames,
        metrics: Metrics,
        clock: Callable[[], float],
        limit: SlidingLimit,
    ):
        """`names` has those of the load and of coldness in the endpoint's answer."""
        self._backend = backend
        self._names = names
        self._metrics = metrics
        self._clock = clock
        self._limit = limit
        self._path = ""
        self._running: asyncio.Task[bool] | None = None
        self._paused_until = float("-inf")
        self.has_path = asyncio.Event()

    def use_path(self, path: str) -> None:
        """Take the path of the health endpoint; empty: it has none, so it is not probed."""
        self._path = path
        if path:
            self.has_path.set()
        else:
            self.has_path.clear()

    async def probe(self, gate: Gate) -> None:
        """Probe for `gate`, or wait for the probe that is running already."""
        probe = self._begin(gate)
        if probe is not None:
            await asyncio.shield(probe)

    async def probe_briefly(self, gate: Gate) -> None:
        """The same on behalf of a request, which waits no longer than `REQUEST_TIMEOUT`."""
        if self._clock() < self._paused_until:
            return
        probe = self._begin(gate)
        if probe is None:
            return
        done, _ = await asyncio.wait((probe,), timeout=REQUEST_TIMEOUT)
        if not done or not probe.result():
            self._paused_until = self._clock() + UNANSWERED_PAUSE
            logs.info(
                "speed-check-unanswered", waited=REQUEST_TIMEOUT, repeat_key="speed-check"
            )

    def _begin(self, gate: Gate) -> asyncio.Task[bool] | None:
        """The probe that runs, a new one if there is none; None if none may be sent."""
        if self._running is not None and not self._running.done():
            return self._running
        if not self._path:
            return None
        if not self._limit.take(self._clock()):
            logs.info("speed-check-over-limit", repeat_key="speed-check-limit")
            return None
        self._running = asyncio.get_running_loop().create_task(self._send(gate))
        return self._running

    async def _send(self, gate: Gate) -> bool:
        """Send one probe; whether the server answered."""
        self._metrics.probes.inc({})
        found = await ask_health(self._backend, self._path, TIMEOUT)
        if found is None:
            return False
        gate.on_answer()
        remaining = cold_remaining(found, self._names.cold)
        if remaining is not None:
            gate.learn_cold(remaining)
        load = decode_backend_load(found.get(self._names.load) or b"")
        if load is not None:
            gate.learn(load)
        else:
            # It does not report its speed, so requests have to find out.
            gate.assume_usual_speed()
        return True
