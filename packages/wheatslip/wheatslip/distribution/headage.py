"""Decides when news of the head have stopped coming, and when they come again. Pure."""

from enum import Enum


class AgeChange(Enum):
    """What has changed since the last look."""

    LOST = "lost"
    FOUND = "found"


class HeadAge:
    """Compares the age of the last confirmation of the head with a bound."""

    def __init__(self, lost_after: float):
        """`lost_after`: seconds without a confirmation after which the news are lost."""
        self._lost_after = lost_after
        self._is_lost = False

    def look(self, age: float) -> AgeChange | None:
        """Take the seconds since the head was confirmed; None if nothing has changed."""
        was_lost = self._is_lost
        self._is_lost = age > self._lost_after
        if was_lost == self._is_lost:
            return None
        return AgeChange.LOST if self._is_lost else AgeChange.FOUND
