"""Bounds the requests that hold a slot of the server while their callers do not read.

A server has done its work for them when it can write its answer, which it can't while the
answer waits for a caller that reads slowly or not at all.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from wheatslipd.http.bounds import PATIENCE_SECONDS, Closing
from wheatslipd.http.connection import Connection, slow_readers

SLOTS_PART = 0.25  # of a server's slots; one request may always do so


class SlowReaders:
    """The requests at one gate whose answers are being passed on."""

    def __init__(self, slots: Callable[[], int]):
        self._slots = slots
        self._answering: set[Connection] = set()  # to which answers are passed on

    @contextmanager
    def watch(self, connection: Connection) -> Iterator[None]:
        """Count the request of a connection while its answer is passed on."""
        self._answering.add(connection)
        try:
            yield
        finally:
            self._answering.discard(connection)

    def make_room(self) -> None:
        """Cut off the readers that have been slow for the longest time, above their part."""
        slow = slow_readers(self._answering, PATIENCE_SECONDS)
        most = max(1, int(self._slots() * SLOTS_PART))
        for connection in slow[: max(0, len(slow) - most)]:
            connection.cut_off(Closing.SLOW_READER)
