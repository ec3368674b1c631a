"""Admission at one backend server.

`admission` holds the rules, `closures` why a gate is closed, `judgement` the judgement of time,
`line` who waits in which order, `coldturns` the turns of a cold server, `ticket` the requests
at the gate.
"""

from wheatslip.admission.admission import REFUSAL_LOSS, Admission
from wheatslip.admission.closures import ClosedBy
from wheatslip.admission.coldturns import ColdRate, ColdTurns, cold_rate
from wheatslip.admission.ticket import (
    AdmissionSettings,
    Ticket,
)

__all__ = [
    "REFUSAL_LOSS",
    "Admission",
    "AdmissionSettings",
    "ClosedBy",
    "ColdRate",
    "ColdTurns",
    "Ticket",
    "cold_rate",
]
