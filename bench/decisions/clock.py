"""A virtual clock: callbacks in order of time, ties in the order in which they were set."""

import heapq
from collections.abc import Callable
from itertools import count


class VirtualClock:
    """Runs callbacks at their time. `now` in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Call back at a time that is not past."""
        heapq.heappush(self._heap, (when, next(self._sequence), callback))

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back in so many seconds."""
        self.at(self.now + seconds, callback)

    def run(self) -> None:
        """Run until nothing is left to call."""
        while self._heap:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
