"""Admission control for one backend server.

- `admission`: decides whether a request starts, waits or is refused
- `closures`: reasons for which a gate is closed
- `timing`: service times, and how long requests may wait
- `slowserver`: rules for a server that is or may be slow
- `gatequeue`: the queue of waiting requests
- `coldstart`: rate limit for a cold server
- `namedlimit`: rate limit that a server names
- `pacing`: evenly spaced starts
- `serverslots`: how many of the server's slots requests may use
- `ticket`: one request at a gate
"""

from wheatslip.admission.admission import Admission
from wheatslip.admission.closures import ClosedBy
from wheatslip.admission.coldstart import ColdRate, ColdStartLimiter, cold_rate
from wheatslip.admission.serverslots import SlotSettings, UsableSlots
from wheatslip.admission.slowserver import NEEDLESS_REFUSAL_COST
from wheatslip.admission.ticket import (
    DEFAULT_URGENT_SHARE,
    RANKED_URGENT_SHARE,
    AdmissionSettings,
    Ticket,
)

__all__ = [
    "DEFAULT_URGENT_SHARE",
    "NEEDLESS_REFUSAL_COST",
    "RANKED_URGENT_SHARE",
    "Admission",
    "AdmissionSettings",
    "ClosedBy",
    "ColdRate",
    "ColdStartLimiter",
    "SlotSettings",
    "Ticket",
    "UsableSlots",
    "cold_rate",
]
