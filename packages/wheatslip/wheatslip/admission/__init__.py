"""Admission at one backend server.

- `admission`: the rules by which a request starts, waits or is refused
- `closures`: why a gate is closed
- `timing`: how long requests take, and how long they may wait
- `slowserver`: what a gate does while its server is slow, or may be
- `gatequeue`: the waiting requests, in the order in which they start
- `coldstart`: how many requests may start at a cold server
- `ticket`: a request at the gate
"""

from wheatslip.admission.admission import Admission
from wheatslip.admission.closures import ClosedBy
from wheatslip.admission.coldstart import ColdRate, ColdStarts, cold_rate
from wheatslip.admission.slowserver import REFUSAL_LOSS
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
    "ColdStarts",
    "Ticket",
    "cold_rate",
]
