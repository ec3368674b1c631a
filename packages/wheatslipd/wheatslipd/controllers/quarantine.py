"""Controller of the quarantine of requests that were running when a backend server ended.

It creates an end report when the local backend server ends, adds the reports of all daemons to
the quarantine that entry and gate read, and lifts the quarantine of a request for an operator.
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

REPORT_ID_RANDOM_BITS = 32  # make a report's id unique across restarts of the daemon


class QuarantineController(Component):
    """Maintains the quarantine of one daemon."""

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
        """`name` is the daemon's name, and `pool` the pool of the local backend server.
        `report` sends a report to all daemons. `unix` returns the Unix time in seconds.
        """
        super().__init__()
        self._quarantine = quarantine
        self._name = name
        self._pool = pool
        self._publish_report = report
        self._rng = rng
        self._unix = unix

    def server_ended(self, exposed: EndedRuns) -> None:
        """Report the requests that may have caused the end of the local backend server."""
        reported_runs = exposed.suspects[-MAX_REPORTED_REQUESTS:]
        if reported_runs:
            fingerprints = tuple(run.fingerprint for run in reported_runs)
            self._publish_report(
                ServerEnd(self._new_id(), self._unix(), self._pool, fingerprints)
            )

    def end_reports_received(self, reports: tuple[EndReport, ...]) -> None:
        """Add new reports to the quarantine."""
        now = self._unix()
        for report in reports:
            for fingerprint in self._quarantine.take(report, now):
                service = report.service if isinstance(report, ServerEnd) else "-"
                logs.warning("request-held", fingerprint=fingerprint, service=service)
            if isinstance(report, Lift):
                logs.info("request-lifted", fingerprint=report.fingerprint)

    def lift(self, fingerprint: str) -> bool:
        """Let a held request run again at all daemons; return whether this daemon held it."""
        now = self._unix()
        if not self._quarantine.held_for(fingerprint, now):
            return False
        self._publish_report(Lift(self._new_id(), now, fingerprint))
        return True

    def _new_id(self) -> str:
        return f"{self._name}/{self._rng.getrandbits(REPORT_ID_RANDOM_BITS):08x}"
