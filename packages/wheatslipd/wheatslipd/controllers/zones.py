"""Controller of the zone drains: entries send nothing to a drained zone, and its gates close.

A gate is the only way to its server, so nothing new gets there even from an entry that does not
know of the drain yet. While a zone was drained its servers may have turned cold, so after it is
restored the gate has its server asked.
"""

from collections.abc import Callable

from circuits import Component
from wheatslip.config.zonedrains import ZoneDrains

from wheatslipd.controllers.view import View
from wheatslipd.gate.gate import Gate
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics


class ZoneController(Component):
    """Owns the set of drained zones, as far as this daemon knows it."""

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
        """Take over a set of zone drains that is not older than the present one."""
        before = self._view.drains
        known = before.zones if before is not None else frozenset()
        if before is not None and drains.version < before.version:
            logs.debug("older-zone-drains-ignored", version=drains.version, ours=before.version)
            return
        self._view.drains = drains
        self._view.note_known()
        self._log_changes(known, drains)
        self._metrics.zones_drained.set({}, len(drains.drains))
        if self._zone in drains.zones:
            self._gate.on_zone_drained()
        elif before is None:
            self._gate.on_zone_not_drained()
        elif self._zone in known:
            self._gate.on_zone_restored()

    def _log_changes(self, known: frozenset[str], drains: ZoneDrains) -> None:
        for drain in drains.drains:
            if drain.zone not in known:
                age = round(self._unix() - drain.since, 1) if drain.since else None
                asked_by = drain.asked_by or "-"
                logs.info("zone-emptied", zone=drain.zone, asked_by=asked_by, age=age)
        for zone in sorted(known - drains.zones):
            logs.info("zone-restored", zone=zone, version=drains.version)
