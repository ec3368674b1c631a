"""Shares the event loop between connections: long work of many goes in turns.

A crowd that sends without a pause would otherwise be read and served whole between two steps of
each other request.
"""

import asyncio
from collections import deque
from collections.abc import Callable

# Of long work between two looks of the event loop at its sockets, in units of a long read.
WORK_PER_TURN = 4


class Turns:
    """The pieces of work that wait for a turn of the event loop, in order, with their size."""

    def __init__(self) -> None:
        self._waiting: deque[tuple[Callable[[], None], int]] = deque()
        self._done = 0  # in this turn
        self._is_scheduled = False

    def take(self, size: int = 1) -> bool:
        """Take a place in this turn; False if it is full, so that the work should `wait`."""
        self._schedule()
        is_free = self._done < WORK_PER_TURN and not self._waiting
        self._done += size
        return is_free

    def wait(self, work: Callable[[], None], size: int = 1) -> None:
        """Do work in a later turn, after all that waits already."""
        self._waiting.append((work, size))
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin)

    def _begin(self) -> None:
        self._is_scheduled = False
        self._done = 0
        while self._waiting and self._done < WORK_PER_TURN:
            work, size = self._waiting.popleft()
            self._done += size
            work()
        if self._waiting:
            self._schedule()
