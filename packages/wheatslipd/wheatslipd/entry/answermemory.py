"""Bounds what the entry holds of answers until their callers have read them."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from wheatslipd.http.bounds import (
    ANSWER_BUDGET_BYTES,
    SENT_ANSWER_BYTES,
    MemoryBudget,
    Share,
)
from wheatslipd.http.client import Response

WAIT_SECONDS = 1.0  # for memory, at most
CHECK_SECONDS = 0.05  # between two looks for callers that do not read


@dataclass(slots=True, eq=False)
class _Waiter:
    share: Share
    granted: asyncio.Future[None]


class AnswerMemory:
    """The memory for answers that are held back until they are complete.

    Where it does not suffice, answers wait for it in order, and callers that do not read theirs
    are cut off.
    """

    def __init__(self, hold: int, close_stalled: Callable[[int], None]):
        """`hold` is the most that is held of an answer, in bytes. `close_stalled` closes the
        connections of so many callers that do not read.
        """
        self._hold = hold
        self._budget = MemoryBudget(ANSWER_BUDGET_BYTES)
        self._close_stalled = close_stalled
        self._waiting: deque[_Waiter] = deque()
        self._check_timer: asyncio.TimerHandle | None = None

    @asynccontextmanager
    async def hold(self, response: Response) -> AsyncIterator[int | None]:
        """Yield how many bytes of an answer to hold; None if there is no memory for it.

        The answer is not read while it waits. Its memory is returned at the end, when the
        caller has read it or has gone.
        """
        length = response.head.get(b"content-length") or b""
        size = int(length) if length.isdigit() else self._hold + SENT_ANSWER_BYTES
        hold = min(self._hold, size)
        share = Share(self._budget)
        try:
            fits = share.grow(hold + min(SENT_ANSWER_BYTES, size))
            yield hold if fits or await self._wait(share, response) else None
        finally:
            share.release()
            self._grant()

    async def _wait(self, share: Share, response: Response) -> bool:
        """Wait for memory; returns whether there is some."""
        response.body.hold_back()
        waiter = _Waiter(share, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        self._schedule_check()
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                await waiter.granted
        except TimeoutError:
            return False
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
        return True

    def _grant(self) -> None:
        """Give memory to the answers that have waited for the longest time."""
        while self._waiting and self._waiting[0].share.grow(0):
            waiter = self._waiting.popleft()
            if not waiter.granted.done():
                waiter.granted.set_result(None)

    def _schedule_check(self) -> None:
        if self._check_timer is None:
            loop = asyncio.get_running_loop()
            self._check_timer = loop.call_later(CHECK_SECONDS, self._check)

    def _check(self) -> None:
        self._check_timer = None
        if self._waiting:
            self._close_stalled(len(self._waiting))
            self._schedule_check()
