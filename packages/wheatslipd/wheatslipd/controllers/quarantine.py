"""Controller of what is held against requests under which servers have ended.

It makes a report when the local server ends, takes those of all daemons into the quarantine
that entry and gate read, and lifts what operators tell it to.
"""

from collections.abc import Callable
from random import Random

from circuits import Component
from wheatslip.quarantine import (
    MAX_REPORTED_REQUESTS,
    EndReport,
    Lift,
    Quarantine,
    ServerEnd,
)
from wheatslip.runtracker import EndedRuns

from wheatslipd.telemetry import logs

# Drawn at random for a report's id, beside the daemon's name: a start of the daemon after this
# one must not give the same id again.
ID_BITS = 32


class QuarantineController(Component):
    """Owns the quarantine of one daemon."""

    channel = "*"

    def __init__(
        self,
        quarantine: Quarantine,
        name: str,
        pool: str,
        report: Callable[[EndReport], None],
        rng: Random,
        unix: Callable[[], float],
    ):
        """`name` is the daemon's, `pool` that of the local server; `report` passes a report on
        to all daemons; `unix` in seconds.
        """
        super().__init__()
        self._quarantine = quarantine
        self._name = name
        self._pool = pool
        self._report = report
        self._rng = rng
        self._unix = unix

    def server_ended(self, exposed: EndedRuns) -> None:
        """The local server ended without notice, while it ran requests."""
        latest = exposed.suspects[-MAX_REPORTED_REQUESTS:]
        if latest:
            fingerprints = tuple(run.fingerprint for run in latest)
            self._report(ServerEnd(self._new_id(), self._unix(), self._pool, fingerprints))

    def ends_reported(self, reports: tuple[EndReport, ...]) -> None:
        """Take reports that are new here."""
        now = self._unix()
        for report in reports:
            for fingerprint in self._quarantine.take(report, now):
                service = report.service if isinstance(report, ServerEnd) else "-"
                logs.warning("request-held", fingerprint=fingerprint, service=service)
            if isinstance(report, Lift):
                logs.info("request-lifted", fingerprint=report.fingerprint)

    def lift(self, fingerprint: str) -> bool:
        """Let a held request run again, at all daemons; whether it was held here."""
        now = self._unix()
        if not self._quarantine.held_for(fingerprint, now):
            return False
        self._report(Lift(self._new_id(), now, fingerprint))
        return True

    def _new_id(self) -> str:
        return f"{self._name}/{self._rng.getrandbits(ID_BITS):08x}"
