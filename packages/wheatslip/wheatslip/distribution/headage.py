"""Detects when confirmations of the head stop and when they resume. Does no I/O."""

from enum import Enum


class AgeChange(Enum):
    """A transition between confirmed in time (`FOUND`) and confirmed too long ago (`LOST`)."""

    LOST = "lost"
    FOUND = "found"


class HeadAge:
    """Compares the age of the head's last confirmation with a limit."""

    def __init__(self, lost_after: float):
        """`lost_after`: longest accepted age in seconds."""
        self._lost_after = lost_after
        self._is_lost = False

    def check_age(self, age: float) -> AgeChange | None:
        """Updates the state. `age` is in seconds; returns None if there was no transition."""
        was_lost = self._is_lost
        self._is_lost = age > self._lost_after
        if was_lost == self._is_lost:
            return None
        return AgeChange.LOST if self._is_lost else AgeChange.FOUND
