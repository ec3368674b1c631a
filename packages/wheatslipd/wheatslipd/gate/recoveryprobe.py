"""The task that finds out how fast a backend server is when its answers don't tell.

One that is slow right now is spared new work, one that resets connections gets none at all,
and one that has just come has answered nothing yet. Then its health endpoint is asked.
"""

import asyncio
from collections.abc import Callable

from wheatslip.admission import ClosedBy

from wheatslipd.gate.gate import Gate
from wheatslipd.gate.speedcheck import SpeedCheck

LOST_INTERVAL = 0.2  # seconds; a server that resets is asked less often


class RecoveryProbe:
    """Asks one backend server while it is in doubt, every `interval` seconds of silence."""

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
            await self._gate.in_doubt.wait()
            known_for = self._clock() - self._gate.load_seen
            if known_for < self._interval:
                await asyncio.sleep(self._interval - known_for)
                continue
            if self._gate.should_probe():
                await self._check.ask(self._gate)
            is_lost = self._gate.is_closed_by(ClosedBy.SERVER_LOST)
            pause = LOST_INTERVAL if is_lost else self._interval
            await asyncio.sleep(pause)
