"""Bounds the requests whose bodies are still received while they hold a slot of the server.

Their callers decide how long that takes. A body that fits into the buffer of a daemon is
received before its request asks for a slot, so this concerns larger ones only.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

SLOTS_PART = 0.5  # of a server's slots; one request may always do so


class UploadLimit:
    """Counts the requests at one gate whose bodies are incomplete."""

    def __init__(self, slots: Callable[[], int]):
        self._slots = slots
        self._running = 0

    @contextmanager
    def reserve(self, *, is_complete: bool) -> Iterator[bool]:
        """Yield whether a request may ask for a slot; one with a complete body always may."""
        if is_complete:
            yield True
            return
        if self._running >= max(1, int(self._slots() * SLOTS_PART)):
            yield False
            return
        self._running += 1
        try:
            yield True
        finally:
            self._running -= 1
