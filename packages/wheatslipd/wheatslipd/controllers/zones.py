"""Controller of the zone drains: entries send nothing to a drained zone, and its gates close.

A closed gate also stops new requests from an entry that has not received the drain yet.
"""

from collections.abc import Callable

from circuits import Component
from wheatslip.config.zonedrains import ZoneDrains

from wheatslipd.controllers.view import View
from wheatslipd.gate.gate import Gate
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics


class ZoneController(Component):
    """Owns this daemon's set of zone drains."""

    channel = "*"

    def __init__(
        self,
        view: View,
        zone: str,
        gate: Gate,
        metrics: Metrics,
        unix: Callable[[], float],
    ):
        super().__init__()
        self._view = view
        self._zone = zone
        self._gate = gate
        self._metrics = metrics
        self._unix = unix

    def zones_drained(self, drains: ZoneDrains) -> None:
        """Apply a set of zone drains unless it is older than the current one."""
        previous = self._view.drains
        previous_zones = previous.zones if previous is not None else frozenset()
        if previous is not None and drains.version < previous.version:
            logs.debug(
                "older-zone-drains-ignored", version=drains.version, ours=previous.version
            )
            return
        self._view.drains = drains
        self._view.update_initialized()
        self._log_changes(previous_zones, drains)
        self._metrics.zones_drained.set({}, len(drains.drains))
        if self._zone in drains.zones:
            self._gate.on_zone_drained()
        elif previous is None:
            self._gate.on_zone_not_drained()
        elif self._zone in previous_zones:
            self._gate.on_zone_restored()

    def _log_changes(self, previous_zones: frozenset[str], drains: ZoneDrains) -> None:
        for drain in drains.drains:
            if drain.zone not in previous_zones:
                age = round(self._unix() - drain.since, 1) if drain.since else None
                asked_by = drain.asked_by or "-"
                logs.info("zone-emptied", zone=drain.zone, asked_by=asked_by, age=age)
        for zone in sorted(previous_zones - drains.zones):
            logs.info("zone-restored", zone=zone, version=drains.version)
