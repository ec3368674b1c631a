"""Decodes the load that a backend server reports in a header of its responses."""

from dataclasses import dataclass

USUAL_SLOWNESS_PERCENT = 100.0  # reported by a server at its usual speed
MAX_VALUE = 1e9  # of each figure
_REQUIRED_FIELDS = 3  # running, waiting, slots; the slowness is optional


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """Load of one backend server; `wheatslip.speed` defines the slowness."""

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


def decode_backend_load(value: bytes) -> BackendLoad | None:
    """Decodes `RUNNING,WAITING,SLOTS[,PERCENT]`; returns None if the value is invalid."""
    try:
        values = [float(part) for part in value.split(b",")]
    except ValueError:
        return None
    if not all(0 <= number <= MAX_VALUE for number in values):
        return None  # also if one is no number
    if len(values) < _REQUIRED_FIELDS or values[2] < 1:
        return None
    percent = (
        values[_REQUIRED_FIELDS] if len(values) > _REQUIRED_FIELDS else USUAL_SLOWNESS_PERCENT
    )
    running, waiting, slots = (int(number) for number in values[:_REQUIRED_FIELDS])
    return BackendLoad(running, waiting, slots, max(percent, 1.0) / USUAL_SLOWNESS_PERCENT)
