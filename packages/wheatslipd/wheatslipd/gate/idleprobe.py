"""Probes the health endpoint of an idle backend server, at a configured maximum rate.

A busy server is not probed: its responses report the load. If the endpoint reports that the
server is draining, the daemon drains too.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from wheatslipd.gate.backend import Backend
from wheatslipd.gate.health import ask_health
from wheatslipd.gate.noticereader import NoticeReader
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics

DRAINING_HEADER = b"x-draining"
PROBE_TIMEOUT_SECONDS = 1.0  # a longer one would only delay the next probe


@dataclass(slots=True)
class ProbeBudget:
    """Rate limit of at most `per_second` evenly spaced probes; times are monotonic seconds."""

    per_second: float
    last_probe_at: float = float("-inf")

    def take(self, now: float) -> bool:
        """Whether a probe may be sent now; if so, it is counted."""
        if self.per_second <= 0 or now - self.last_probe_at < 1.0 / self.per_second:
            return False
        self.last_probe_at = now
        return True


class IdleProbe:
    """Probes one backend server while it is idle."""

    def __init__(
        self,
        backend: Backend,
        path: str,
        notices: NoticeReader,
        metrics: Metrics,
        clock: Callable[[], float],
        is_idle: Callable[[float], bool],
    ):
        """`is_idle(seconds)` tells whether no request has run or finished for that long."""
        self._backend = backend
        self._path = path
        self._notices = notices
        self._metrics = metrics
        self._clock = clock
        self._is_idle = is_idle
        self.budget = ProbeBudget(1.0)

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            pause = 1.0 / self.budget.per_second if self.budget.per_second > 0 else 1.0
            await asyncio.sleep(pause)
            if self._is_idle(pause) and self.budget.take(self._clock()):
                await self._probe()

    async def _probe(self) -> None:
        started_at = self._clock()
        head = await ask_health(self._backend, self._path, PROBE_TIMEOUT_SECONDS)
        self._metrics.probes.inc({})
        self._metrics.probe_seconds.add({}, self._clock() - started_at)
        if head is None:
            logs.warning("probe-failed", repeat_key="probe")
            return
        self._notices.on_health(head)
        if head.get(DRAINING_HEADER) == b"yes":
            self._notices.mark_leaving("its health endpoint says so")
