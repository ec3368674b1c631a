"""Evenly spaced starts of requests: at most `burst` at once, and `per_second` in the long run.

Any `seconds` contain at most `per_second * seconds + burst` starts.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pace:
    """A rate of starts; `burst` of them may start at once."""

    per_second: float
    burst: float = 1.0

    @property
    def spacing(self) -> float:
        """Seconds between two starts."""
        return 1.0 / self.per_second


@dataclass(slots=True)
class PacedStarts:
    """The starts so far, compared with a pace. Times in seconds, monotonic."""

    _next_due: float = float("-inf")  # when the next evenly spaced start is due

    def earliest(self, pace: Pace) -> float:
        """The earliest time of the next start."""
        return self._next_due - (pace.burst - 1.0) * pace.spacing

    def on_start(self, pace: Pace, now: float) -> None:
        self._next_due = max(self._next_due, now) + pace.spacing

    def restart(self, pace: Pace, now: float) -> None:
        """Forgets the earlier starts; only one may start at once now."""
        self._next_due = now + (pace.burst - 1.0) * pace.spacing

    def change_pace(self, old: Pace, new: Pace, now: float) -> None:
        """Keeps the number of starts that are ahead of the even spacing, for another pace."""
        ahead = max(0.0, self._next_due - now) * old.per_second
        self._next_due = now + ahead * new.spacing
