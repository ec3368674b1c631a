"""The task that probes a backend server whose answers don't show its state.

A slow server is spared new work, a lost one gets none at all, and one that has just come has
answered nothing yet: none of them reports its speed with answers, so its health endpoint is
probed.
"""

import asyncio
from collections.abc import Callable

from wheatslip.admission import ClosedBy

from wheatslipd.gate.gate import Gate
from wheatslipd.gate.speedcheck import SpeedCheck

# Seconds between probes of a lost server: shorter loads a server in trouble, longer keeps a
# server that is back without work.
LOST_INTERVAL = 0.2


class RecoveryProbe:
    """Probes a backend server while its gate needs it, after `interval` seconds of silence."""

    def __init__(
        self, gate: Gate, check: SpeedCheck, clock: Callable[[], float], interval: float
    ):
        self._gate = gate
        self._check = check
        self._clock = clock
        self._interval = interval

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._check.has_path.wait()
            await self._gate.needs_probe.wait()
            known_for = self._clock() - self._gate.load_reported_at
            if known_for < self._interval:
                await asyncio.sleep(self._interval - known_for)
                continue
            if self._gate.should_probe():
                await self._check.probe(self._gate)
            is_lost = self._gate.is_closed_by(ClosedBy.SERVER_LOST)
            pause = LOST_INTERVAL if is_lost else self._interval
            await asyncio.sleep(pause)
