"""State shared by the components of one daemon."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wheatslip.quarantine import Quarantine

from wheatslipd.controllers.bus import Bus
from wheatslipd.controllers.events import newer_version_seen
from wheatslipd.controllers.view import View
from wheatslipd.telemetry.metrics import Metrics


@dataclass(frozen=True, slots=True)
class SharedState:
    """State of one daemon that its components share; both clocks return seconds."""

    view: View
    bus: Bus
    metrics: Metrics
    rng: Random
    quarantine: Quarantine
    monotonic: Callable[[], float]
    unix: Callable[[], float]

    def hint_newer_version(self, version: int, address: str) -> None:
        """Report that the daemon at the IP address `address` has a newer bundle `version`."""
        self.bus.fire(newer_version_seen(version, address))
