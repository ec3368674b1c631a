"""Time limits on the silence of others that do not count the time when this process was away.

A process whose event loop is held up (its processor is taken, it is stopped, a callback takes
long) reads nothing meanwhile. When it goes on, a timer that is due runs before what has arrived
is handed to its reader, so a plain time-out takes the own hold-up for the silence of the other
side. Limits that belong to a caller, as the deadline of a request, stay plain time-outs.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from wheatslipd.telemetry import logs

SLICES = 4  # parts of a limit; a part in which the loop was held up does not count
# Share of a part by which its timer may be late.
TOLERATED_LATENESS = 0.25
# Longest extension, as a multiple of the limit, so that a loop that is always late ends a wait.
MAX_EXTENSION = 0.5


class PatientTimer:
    """Calls back after a time in which the event loop ran."""

    def __init__(self, seconds: float, callback: Callable[[], None], waits_for: str):
        """`waits_for` names in the log what the time limits."""
        self._loop = asyncio.get_running_loop()
        self._callback = callback
        self._waits_for = waits_for
        self._slice = seconds / SLICES
        self._slices_left = SLICES
        self._repeats_left = round(MAX_EXTENSION * SLICES)
        self._due = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._schedule()

    def cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        self._due = self._loop.time() + self._slice
        self._timer = self._loop.call_at(self._due, self._on_slice)

    def _on_slice(self) -> None:
        lateness = self._loop.time() - self._due
        if lateness > TOLERATED_LATENESS * self._slice and self._repeats_left > 0:
            self._repeats_left -= 1
            logs.info(
                "held-up-while-waiting",
                waits_for=self._waits_for,
                late=round(lateness, 3),
                repeat_key=self._waits_for,
            )
        else:
            self._slices_left -= 1
        if self._slices_left > 0:
            self._schedule()
        else:
            self._callback()


@asynccontextmanager
async def reply_timeout(seconds: float, waits_for: str) -> AsyncIterator[None]:
    """As `asyncio.timeout`, but hold-ups of the own event loop do not count.

    `waits_for` names in the log whose reply is awaited. Raises TimeoutError.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        timer = PatientTimer(seconds, lambda: timeout.reschedule(loop.time()), waits_for)
        try:
            yield
        finally:
            timer.cancel()


async def sleep_lateness(seconds: float) -> float:
    """Sleep, and return by how many seconds the loop was late to end it."""
    loop = asyncio.get_running_loop()
    due = loop.time() + seconds
    await asyncio.sleep(seconds)
    return max(0.0, loop.time() - due)
