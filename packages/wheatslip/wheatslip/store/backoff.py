"""Jittered exponential backoff between retries."""

from random import Random

BACKOFF_FIRST_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 5.0  # limit of the random part
MAX_DOUBLINGS = 30  # keeps the exponent within the range of a float


class Backoff:
    """The waits of one sequence of retries. `rng` is seeded by the caller."""

    def __init__(self, rng: Random, last: float = BACKOFF_MAX_SECONDS):
        """`last` is the largest random part of a wait, in seconds."""
        self._rng = rng
        self._max_random_seconds = last
        self._tries = 0

    def reset(self) -> None:
        self._tries = 0

    def next(self) -> float:
        """The next wait in seconds: half of `BACKOFF_FIRST_SECONDS` plus a random part, whose
        limit starts at `BACKOFF_FIRST_SECONDS` and doubles after each call, up to `last`.
        """
        max_random = min(self._max_random_seconds, BACKOFF_FIRST_SECONDS * 2.0**self._tries)
        self._tries = min(self._tries + 1, MAX_DOUBLINGS)
        return BACKOFF_FIRST_SECONDS / 2 + self._rng.random() * max_random
