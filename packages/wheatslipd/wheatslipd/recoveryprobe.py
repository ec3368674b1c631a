"""The task that finds out how fast a backend server is when its answers don't tell.

One that is slow right now is spared new work, one that resets connections gets none at all,
and one that has just come has answered nothing yet. Then, and only then, its health endpoint
is asked.
"""

import asyncio
from collections.abc import Callable

from wheatslip.backendload import decode_backend_load

from wheatslipd.backend import Backend
from wheatslipd.gate import Gate
from wheatslipd.health import ask_health
from wheatslipd.metrics import Metrics

TIMEOUT = 0.2  # seconds
LOST_INTERVAL = 0.2


class RecoveryProbe:
    """Asks one backend server while it is in doubt, every `interval` seconds of silence."""

    def __init__(
        self,
        gate: Gate,
        backend: Backend,
        header: bytes,
        metrics: Metrics,
        clock: Callable[[], float],
        interval: float,
    ):
        """`header` names the load in the endpoint's answer."""
        self._gate = gate
        self._backend = backend
        self._header = header
        self._metrics = metrics
        self._clock = clock
        self._interval = interval
        self._path = ""
        self._has_path = asyncio.Event()

    def use_path(self, path: str) -> None:
        """Take the path of the health endpoint; empty: it has none, so nothing is asked."""
        self._path = path
        if path:
            self._has_path.set()
        else:
            self._has_path.clear()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._has_path.wait()
            await self._gate.in_doubt.wait()
            if not self._path:
                continue
            known_for = self._clock() - self._gate.load_seen
            if known_for < self._interval:
                await asyncio.sleep(self._interval - known_for)
                continue
            await self._probe()
            pause = LOST_INTERVAL if self._gate.admission.lost else self._interval
            await asyncio.sleep(pause)

    async def _probe(self) -> None:
        self._metrics.probes.inc({})
        found = await ask_health(self._backend, self._path, TIMEOUT)
        if found is None:
            return
        self._gate.on_answer()
        load = decode_backend_load(found.get(self._header) or b"")
        if load is not None:
            self._gate.learn(load)
        else:
            # It told nothing, so nothing is known: work finds out.
            self._gate.forget_slowness()
