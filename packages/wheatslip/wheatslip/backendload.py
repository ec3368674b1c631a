"""The load that a backend server reports in a header of its answers."""

from dataclasses import dataclass

USUAL_PERCENT = 100.0  # of a server that is as fast as usual
_FIGURES = 3  # running, waiting, slots; a fourth may follow


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """Requests running and waiting, slots, and the slowness (`wheatslip.speed`)."""

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


def decode_backend_load(value: bytes) -> BackendLoad | None:
    """The load from `RUNNING,WAITING,SLOTS[,PERCENT]`, None if it is not that."""
    try:
        figures = [float(part) for part in value.split(b",")]
    except ValueError:
        return None
    if len(figures) < _FIGURES or min(figures) < 0 or figures[2] < 1:
        return None
    percent = figures[_FIGURES] if len(figures) > _FIGURES else USUAL_PERCENT
    running, waiting, slots = (int(figure) for figure in figures[:_FIGURES])
    return BackendLoad(running, waiting, slots, max(percent, 1.0) / USUAL_PERCENT)
