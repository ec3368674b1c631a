"""Measures how late the event loop runs its timers, so that a daemon can tell a hold-up of its
own from the silence of others.
"""

from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics
from wheatslipd.timeouts import sleep_lateness

CHECK_SECONDS = 0.25
LOGGED_LAG_SECONDS = 0.1  # as long as an entry waits for the owner of a limit


class LoopLagMonitor:
    """A task that records the lag of the loop in the metrics, and logs long hold-ups."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            lag = await sleep_lateness(CHECK_SECONDS)
            self._metrics.loop_lag_seconds.observe({}, lag)
            if lag >= LOGGED_LAG_SECONDS:
                logs.warning("held-up", seconds=round(lag, 3), repeat_key="held-up")
