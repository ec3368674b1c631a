"""Bounds the requests that hold a slot of the server while their callers do not read.

A server has done its work for them when it can write its answer, which it can't while the
answer waits for a caller that reads slowly or not at all.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from wheatslipd.http.bounds import PATIENCE_SECONDS
from wheatslipd.http.exchange import Exchange
from wheatslipd.telemetry import logs

SLOTS_PART = 0.25  # of a server's slots; one request may always do so


class SlowReaders:
    """The requests at one gate whose answers are being passed on."""

    def __init__(self, slots: Callable[[], int]):
        self._slots = slots
        self._answering: dict[Exchange, None] = {}  # in the order of their begin

    @contextmanager
    def watch(self, exchange: Exchange) -> Iterator[None]:
        """Count a request while its answer is passed on."""
        self._answering[exchange] = None
        try:
            yield
        finally:
            self._answering.pop(exchange, None)

    def make_room(self) -> None:
        """Cut off the readers that have been slow for the longest time, above their part."""
        now = asyncio.get_running_loop().time()
        slow = [
            exchange
            for exchange in self._answering
            if exchange.connection.blocked_seconds(now) > PATIENCE_SECONDS
        ]
        for exchange in slow[: max(0, len(slow) - max(1, int(self._slots() * SLOTS_PART)))]:
            logs.info("slow-reader-cut-off", repeat_key="gate")
            exchange.connection.abort()
