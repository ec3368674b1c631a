"""What most parts of one daemon share."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wheatslip.quarantine import Quarantine

from wheatslipd.controllers.bus import Bus
from wheatslipd.controllers.events import newer_version_seen
from wheatslipd.controllers.view import View
from wheatslipd.telemetry.metrics import Metrics


@dataclass(frozen=True, slots=True)
class Shared:
    """The present state, the events, the metrics, the generator, what is held against requests,
    and the clocks of a daemon.

    `rng` is seeded by whoever starts the daemon. Both clocks return seconds.
    """

    view: View
    bus: Bus
    metrics: Metrics
    rng: Random
    quarantine: Quarantine
    monotonic: Callable[[], float]
    unix: Callable[[], float]

    def hint_newer_version(self, version: int, address: str) -> None:
        """The daemon at `address` (an IP number) has this newer version of the bundle."""
        self.bus.fire(newer_version_seen(version, address))
