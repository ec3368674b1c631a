"""Bounds what the entry holds of answers until their callers have read them."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from wheatslipd.http.bounds import (
    ANSWER_BUDGET_BYTES,
    ANSWER_PATIENCE_SECONDS,
    SENT_ANSWER_BYTES,
    Closing,
)
from wheatslipd.http.client import Response
from wheatslipd.http.connection import Connection, slow_readers
from wheatslipd.http.memory import MemoryBudget, Share

WAIT_SECONDS = 1.0  # for memory, at most


class AnswerMemory:
    """The memory for answers that are held back until they are complete.

    Where it does not suffice, the caller that has not read its answer for the longest time is
    cut off. If all read theirs, answers wait in order.
    """

    def __init__(self, hold: int, budget: MemoryBudget | None = None):
        """`hold` is the most that is held of an answer, in bytes."""
        self._hold = hold
        self._budget = budget or MemoryBudget(ANSWER_BUDGET_BYTES)
        # Of the answers in memory, by the connection to the caller: it waits for one at a time.
        self._shares: dict[Connection, Share] = {}
        self._waiting: deque[tuple[Share, asyncio.Future[None]]] = deque()

    @asynccontextmanager
    async def hold(
        self, response: Response, connection: Connection
    ) -> AsyncIterator[int | None]:
        """Yield how many bytes of an answer to hold for its caller on `connection`; None if
        there is no memory for it.

        The memory is returned at the end, when the caller has read the answer or has gone.
        """
        length = response.head.get(b"content-length") or b""
        size = int(length) if length.isdigit() else self._hold + SENT_ANSWER_BYTES
        hold = min(self._hold, size)
        share = Share(self._budget)
        try:
            fits = share.grow(hold + min(SENT_ANSWER_BYTES, size))
            fits = fits or self._make_room(share) or await self._wait(share, response)
            self._shares[connection] = share
            yield hold if fits else None
        finally:
            self._shares.pop(connection, None)
            share.release()
            self._grant()

    def _make_room(self, share: Share) -> bool:
        """Cut off callers that do not read until `share` fits; returns whether it does."""
        for connection in slow_readers(self._shares, ANSWER_PATIENCE_SECONDS):
            connection.count(Closing.SLOW_READER)
            connection.close_late()
            self._shares.pop(connection).release()
            if share.grow(0):
                return True
        return False

    async def _wait(self, share: Share, response: Response) -> bool:
        """Wait for memory, without reading the answer; returns whether there is some."""
        response.body.hold_back()
        granted = asyncio.get_running_loop().create_future()
        self._waiting.append((share, granted))
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                await granted
        except TimeoutError:
            return False
        finally:
            with_this = (share, granted)
            if with_this in self._waiting:
                self._waiting.remove(with_this)
        return True

    def _grant(self) -> None:
        """Give memory to the answers that have waited for the longest time."""
        while self._waiting and self._waiting[0][0].grow(0):
            _, granted = self._waiting.popleft()
            if not granted.done():
                granted.set_result(None)
