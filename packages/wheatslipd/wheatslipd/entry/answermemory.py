"""Bounds what the entry holds of answers until their callers have read them."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from wheatslipd.http.bounds import (
    ANSWER_BUDGET_BYTES,
    SENT_ANSWER_BYTES,
    MemoryBudget,
    Share,
)
from wheatslipd.http.client import Response
from wheatslipd.http.connection import Connection
from wheatslipd.telemetry import logs

# Without reading: after that a caller makes room for the answers of others. It is short, since
# the answers that wait hold slots of their servers.
PATIENCE_SECONDS = 0.05
WAIT_SECONDS = 1.0  # for memory, at most


@dataclass(slots=True, eq=False)
class _Held:
    """An answer in memory, and the connection that it goes to."""

    connection: Connection
    share: Share


class AnswerMemory:
    """The memory for answers that are held back until they are complete.

    Where it does not suffice, the caller that has not read its answer for the longest time is
    cut off. If all read theirs, answers wait in order.
    """

    def __init__(self, hold: int, budget: MemoryBudget | None = None):
        """`hold` is the most that is held of an answer, in bytes."""
        self._hold = hold
        self._budget = budget or MemoryBudget(ANSWER_BUDGET_BYTES)
        self._held: dict[_Held, None] = {}
        self._waiting: deque[tuple[Share, asyncio.Future[None]]] = deque()
        self.cut_off = 0  # callers that did not read

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
        held = _Held(connection, Share(self._budget))
        try:
            fits = held.share.grow(hold + min(SENT_ANSWER_BYTES, size))
            fits = fits or self._make_room(held.share) or await self._wait(held.share, response)
            self._held[held] = None
            yield hold if fits else None
        finally:
            self._held.pop(held, None)
            held.share.release()
            self._grant()

    def _make_room(self, share: Share) -> bool:
        """Cut off callers that do not read until `share` fits; returns whether it does."""
        now = asyncio.get_running_loop().time()
        slow = [h for h in self._held if h.connection.blocked_seconds(now) > PATIENCE_SECONDS]
        slow.sort(key=lambda held: -held.connection.blocked_seconds(now))
        for held in slow:
            self.cut_off += 1
            logs.info("answer-not-read", total=self.cut_off, repeat_key="")
            held.connection.abort()
            held.share.release()
            del self._held[held]
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
