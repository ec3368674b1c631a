"""Probes a backend server that answers too few requests to report its speed with them.

A slow server gets few requests, a lost server gets none, and a newly registered server has not
answered any request yet.
"""

import asyncio
from collections.abc import Callable

from wheatslip.admission import ClosedBy

from wheatslipd.gate.gate import Gate
from wheatslipd.gate.speedcheck import SpeedCheck

# Between probes of a lost server. A shorter interval loads a failing server, a longer one
# leaves a recovered server without requests.
LOST_INTERVAL_SECONDS = 0.2


class RecoveryProbe:
    """Probes a backend server while its gate needs it, `interval` seconds after a report."""

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
            report_age = self._clock() - self._gate.load_reported_at
            # Reports with responses say nothing of coldness.
            if report_age < self._interval and not self._gate.is_assumed_cold:
                await asyncio.sleep(self._interval - report_age)
                continue
            if self._gate.should_probe():
                await self._check.probe(self._gate)
            is_lost = self._gate.is_closed_by(ClosedBy.SERVER_LOST)
            pause = LOST_INTERVAL_SECONDS if is_lost else self._interval
            await asyncio.sleep(pause)
