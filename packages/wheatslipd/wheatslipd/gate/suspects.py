"""Limits suspects, which are requests that may end the server that runs them.

At most one suspect runs at a time, so that an end of the server identifies it. A suspect that
the server answers is cleared. Other requests run concurrently.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from wheatslip.call import UNLIMITED, Call
from wheatslip.outcome import NotRun
from wheatslip.quarantine import Quarantine, Standing
from wheatslip.retryafter import SUSPECT_RUNS, held_refusal

# For the running suspect, which may hang and delay all others; long enough that harmless
# suspects can still be answered.
MAX_SUSPECT_WAIT_SECONDS = 1.0


class SuspectGuard:
    """Admits requests to one backend server by their standing in the quarantine."""

    def __init__(
        self,
        quarantine: Quarantine,
        clock: Callable[[], float],
        unix: Callable[[], float],
    ):
        """`clock` is monotonic, `unix` is wall-clock time; both are in seconds."""
        self._quarantine = quarantine
        self._clock = clock
        self._unix = unix
        self._suspect_lock = asyncio.Lock()

    @asynccontextmanager
    async def reserve(
        self, call: Call, fingerprint: str, max_wait: float, *, was_suspected: bool
    ) -> AsyncIterator[NotRun | None]:
        """Keep other suspects out while a suspect runs; yields a refusal if it may not run now.

        `was_suspected`: the entry saw a server end while it ran this request. `max_wait` is the
        time in seconds that the request may wait for other suspects.
        """
        standing = self._standing(fingerprint)
        if standing is Standing.FREE and not was_suspected:
            yield None
        elif standing is Standing.HELD:
            yield self._refusal(fingerprint)
        elif await self._acquire_suspect_lock(call, max_wait):
            try:
                yield self._refusal(fingerprint)
            finally:
                self._suspect_lock.release()
        else:
            yield SUSPECT_RUNS

    def on_answered(self, fingerprint: str) -> None:
        """Clear the request: the server answered it without failing."""
        self._quarantine.answered(fingerprint)

    def _standing(self, fingerprint: str) -> Standing:
        if not len(self._quarantine):
            return Standing.FREE
        return self._quarantine.standing(fingerprint, self._unix())

    def _refusal(self, fingerprint: str) -> NotRun | None:
        """The refusal of a held request; None if the request is not held."""
        seconds = self._quarantine.held_for(fingerprint, self._unix())
        return held_refusal(seconds) if seconds > 0 else None

    async def _acquire_suspect_lock(self, call: Call, max_wait: float) -> bool:
        """Wait until no other suspect runs here; return False on timeout."""
        now = self._clock()
        wait_until = call.deadline if call.hold_until >= UNLIMITED else call.hold_until
        try:
            async with asyncio.timeout(
                max(0.0, min(max_wait, wait_until - now, MAX_SUSPECT_WAIT_SECONDS))
            ):
                await self._suspect_lock.acquire()
        except TimeoutError:
            return False
        return True
