"""Waits between the tries of a call that fails."""

from random import Random

# Bounds of the first wait and of the longest, in seconds; chosen, not measured.
BACKOFF_FIRST = 0.1
BACKOFF_LAST = 5.0
MAX_DOUBLINGS = 30  # far beyond any longest wait, and small enough for a float


class Backoff:
    """Jittered exponential backoff; `rng` is seeded by the owner."""

    def __init__(self, rng: Random, first: float = BACKOFF_FIRST, last: float = BACKOFF_LAST):
        self._rng = rng
        self._first = first
        self._last = last
        self._tries = 0

    def reset(self) -> None:
        """Start again from the shortest wait."""
        self._tries = 0

    def next(self) -> float:
        """The next wait in seconds, drawn evenly below a doubling bound."""
        bound = min(self._last, self._first * 2.0**self._tries)
        self._tries = min(self._tries + 1, MAX_DOUBLINGS)
        return self._first / 2 + self._rng.random() * bound
