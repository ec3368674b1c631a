"""Waits between the tries of a call that fails."""

from random import Random

# Bounds of the first and of the longest wait, in seconds.
BACKOFF_FIRST = 0.1
BACKOFF_LAST = 5.0
MAX_DOUBLINGS = 30  # far beyond any longest wait, and small enough for a float


class Backoff:
    """Jittered exponential backoff; `rng` is seeded by the owner."""

    def __init__(self, rng: Random, last: float = BACKOFF_LAST):
        """`last` bounds the longest wait, in seconds."""
        self._rng = rng
        self._last = last
        self._tries = 0

    def reset(self) -> None:
        """Start again from the shortest wait."""
        self._tries = 0

    def next(self) -> float:
        """The next wait in seconds: half the first bound, and evenly below a doubling one."""
        bound = min(self._last, BACKOFF_FIRST * 2.0**self._tries)
        self._tries = min(self._tries + 1, MAX_DOUBLINGS)
        return BACKOFF_FIRST / 2 + self._rng.random() * bound
